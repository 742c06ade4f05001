use super::*;

fn split(input: &[u8], piece: usize) -> Vec<Vec<u8>> {
    let (mut lines, mut got) = (LineBuffer::new(1000), Vec::new());
    for bytes in input.chunks(piece) {
        lines.push(bytes);
        while let Some(line) = lines.next_line().unwrap() {
            got.push(line.to_vec());
        }
    }
    got
}

#[test]
fn lines_are_the_same_in_pieces_of_any_size() {
    let mut input = vec![b'x'; 999];
    input.extend_from_slice(b"\r\n\nab\nno end");
    let whole = split(&input, input.len());
    assert_eq!(whole.iter().map(Vec::len).collect::<Vec<_>>(), [999, 0, 2]);
    for piece in [1, 2, 3, 7, 500] {
        assert_eq!(split(&input, piece), whole, "in pieces of {piece}");
    }
}

#[test]
fn line_without_an_end_is_refused_with_its_bound() {
    let mut lines = LineBuffer::new(10);
    lines.push(b"0123456789");
    assert_eq!(lines.next_line(), Ok(None));
    lines.push(b"0");
    assert_eq!(lines.next_line(), Err(TooLong(10)));
}
