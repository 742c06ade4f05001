use mio::Token;

use super::*;

fn id(token: usize) -> Id {
    Id::from_token(Token(token))
}

#[test]
fn each_kind_has_one_deadline_and_the_earliest_is_popped_first() {
    let (mut deadlines, second) = (Deadlines::default(), Duration::from_secs(1));
    deadlines.set(DeadlineKind::ConnectionTimeout(id(4)), second);
    deadlines.set(DeadlineKind::Wake, second * 2);
    deadlines.set_if_earlier(DeadlineKind::Wake, second * 3);
    deadlines.set(DeadlineKind::ConnectionTimeout(id(4)), second * 4);
    deadlines.set(DeadlineKind::ConnectionTimeout(id(5)), second);
    deadlines.clear(DeadlineKind::ConnectionTimeout(id(5)));
    assert_eq!((deadlines.next_at(), deadlines.pop_due(second)), (Some(second * 2), None));
    let all: Vec<DeadlineKind> = std::iter::from_fn(|| deadlines.pop_due(second * 9)).collect();
    assert_eq!(all, [DeadlineKind::Wake, DeadlineKind::ConnectionTimeout(id(4))]);
}
