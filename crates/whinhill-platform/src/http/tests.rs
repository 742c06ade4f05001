use super::*;

fn read(input: &[u8], piece: usize) -> Result<(Option<u16>, Vec<u8>, bool), HttpError> {
    let (mut response, mut body) = (ResponseReader::default(), Vec::new());
    for bytes in input.chunks(piece) {
        response.push(bytes, &mut body)?;
    }
    Ok((response.status(), body, response.is_complete_at_eof()))
}

#[test]
fn chunks_are_joined_in_pieces_of_any_size() {
    let input = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n1;x=1\r\n\n\r\n0\r\n\r\n";
    for piece in 1..input.len() {
        assert_eq!(read(input, piece), Ok((Some(200), b"ab\n\n".to_vec(), true)), "in pieces of {piece}");
    }
}

#[test]
fn body_ends_at_its_length_or_with_the_connection() {
    let head = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nab";
    assert_eq!(read(head, 3), Ok((Some(503), b"ab".to_vec(), true)));
    assert_eq!(read(&head[..head.len() - 1], 3), Ok((Some(503), b"a".to_vec(), false)));
    assert_eq!(read(b"HTTP/1.1 200 OK\r\n\r\nab", 1), Ok((Some(200), b"ab".to_vec(), true)));
}

#[test]
fn malformed_responses_are_refused() {
    assert_eq!(read(b"* lease 1 1\r\n", 4), Err(HttpError::Head));
    let chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n";
    assert_eq!(read(chunk, 5), Err(HttpError::Chunk));
    let mut endless = b"HTTP/1.1 200 OK\r\n".to_vec();
    endless.extend(b"a: b\r\n".iter().cycle().take(20_000));
    assert!(read(&endless, 100).is_err());
}
