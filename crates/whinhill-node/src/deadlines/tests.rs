use mio::Token;

use super::*;

fn id(name: usize) -> Id {
    Id::of(Token(name))
}

#[test]
fn each_thing_has_one_deadline_and_the_earliest_comes_first() {
    let (mut deadlines, second) = (Deadlines::default(), Duration::from_secs(1));
    deadlines.set(Due::Connection(id(4)), second);
    deadlines.set(Due::Wake, second * 2);
    deadlines.set_by(Due::Wake, second * 3);
    deadlines.set(Due::Connection(id(4)), second * 4);
    deadlines.set(Due::Connection(id(5)), second);
    deadlines.clear(Due::Connection(id(5)));
    assert_eq!((deadlines.next_at(), deadlines.pop(second)), (Some(second * 2), None));
    let all: Vec<Due> = std::iter::from_fn(|| deadlines.pop(second * 9)).collect();
    assert_eq!(all, [Due::Wake, Due::Connection(id(4))]);
}
