use super::*;

const ANSWER: usize = 18;

#[test]
fn answer_counts_as_written_once_its_last_byte_is() {
    let mut answers = PendingAnswers::default();
    answers.queue_answer(Duration::from_secs(1), ANSWER);
    answers.queue_answer(Duration::from_secs(2), ANSWER);
    answers.note_written(ANSWER - 1);
    assert!(answers.take_answered().is_empty());
    assert_eq!((answers.count(), answers.oldest_received_at()), (2, Some(Duration::from_secs(1))));
    answers.note_written(2);
    assert_eq!(answers.take_answered(), [Duration::from_secs(1)]);
    assert_eq!((answers.count(), answers.oldest_received_at()), (1, Some(Duration::from_secs(2))));
}

#[test]
fn other_output_does_not_count_as_an_answer() {
    let mut answers = PendingAnswers::default();
    answers.queue_other(ANSWER);
    answers.queue_answer(Duration::from_secs(1), ANSWER);
    answers.note_written(ANSWER);
    assert_eq!((answers.take_answered().len(), answers.count()), (0, 1));
    answers.note_written(ANSWER);
    assert_eq!((answers.take_answered().len(), answers.count()), (1, 0));
}
