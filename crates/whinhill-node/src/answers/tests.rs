use super::*;

const ANSWER: usize = 18;

#[test]
fn an_answer_has_left_once_its_last_byte_has() {
    let mut answers = Answers::default();
    answers.queue(Duration::from_secs(1), ANSWER);
    answers.queue(Duration::from_secs(2), ANSWER);
    answers.written(ANSWER - 1);
    assert!(answers.take_left().is_empty());
    assert_eq!((answers.owed(), answers.oldest()), (2, Some(Duration::from_secs(1))));
    answers.written(2);
    assert_eq!(answers.take_left(), [Duration::from_secs(1)]);
    assert_eq!((answers.owed(), answers.oldest()), (1, Some(Duration::from_secs(2))));
}

#[test]
fn what_answers_no_request_is_not_taken_for_an_answer() {
    let mut answers = Answers::default();
    answers.queue_unasked(ANSWER);
    answers.queue(Duration::from_secs(1), ANSWER);
    answers.written(ANSWER);
    assert_eq!((answers.take_left().len(), answers.owed()), (0, 1));
    answers.written(ANSWER);
    assert_eq!((answers.take_left().len(), answers.owed()), (1, 0));
}
