use std::io::Error;

use super::*;

#[test]
fn accept_errors_of_one_connection_cause_no_delay() {
    let at_once = |code| is_per_connection_error(&Error::from_raw_os_error(code));
    for code in [libc::ECONNABORTED, libc::EINTR, libc::ENETUNREACH, libc::EHOSTUNREACH] {
        assert!(at_once(code), "{}", Error::from_raw_os_error(code));
    }
    for code in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert!(!at_once(code), "{}", Error::from_raw_os_error(code));
    }
}

/// Guards against the end of a chunked body being missed because its first bytes were read and the rest was not.
#[tokio::test]
async fn end_of_a_body_is_seen_where_a_part_of_it_is_read() {
    use std::io::Write;
    use tokio::io::AsyncReadExt;

    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut client = std::net::TcpStream::connect(address).expect("it accepts");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("an option");
    let mut socket = Socket::new(TcpStream::from_std(stream).expect("a runtime"));
    client.write_all(b"0\r\n\r\n").expect("written");
    let mut read = [0; 3];
    socket.read_exact(&mut read).await.expect("read");
    let mut tail = Tail::default();
    tail.append(&read);
    assert!(!tail.is_empty_line());
    assert!(socket.peer().received_tail(tail).is_empty_line());
}
