use super::*;

fn read(input: &[u8], piece: usize) -> Result<(Option<u16>, Vec<u8>, bool), HttpError> {
    let (mut answer, mut body) = (Answer::default(), Vec::new());
    for bytes in input.chunks(piece) {
        answer.push(bytes, &mut body)?;
    }
    Ok((answer.status(), body, answer.whole_at_end()))
}

#[test]
fn chunks_are_joined_however_they_are_cut() {
    let input = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n1;x=1\r\n\n\r\n0\r\n\r\n";
    for piece in 1..input.len() {
        assert_eq!(read(input, piece), Ok((Some(200), b"ab\n\n".to_vec(), true)), "in pieces of {piece}");
    }
}

#[test]
fn a_body_ends_by_its_length_or_with_its_connection() {
    let head = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nab";
    assert_eq!(read(head, 3), Ok((Some(503), b"ab".to_vec(), true)));
    assert_eq!(read(&head[..head.len() - 1], 3), Ok((Some(503), b"a".to_vec(), false)));
    assert_eq!(read(b"HTTP/1.1 200 OK\r\n\r\nab", 1), Ok((Some(200), b"ab".to_vec(), true)));
}

#[test]
fn what_is_no_answer_is_refused() {
    assert_eq!(read(b"* lease 1 1\r\n", 4), Err(HttpError::Head));
    let chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n";
    assert_eq!(read(chunk, 5), Err(HttpError::Chunk));
    let mut endless = b"HTTP/1.1 200 OK\r\n".to_vec();
    endless.extend(b"a: b\r\n".iter().cycle().take(20_000));
    assert!(read(&endless, 100).is_err());
}
