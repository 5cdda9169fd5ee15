use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn connections_over_the_limit_get_503_and_a_closed_one_frees_its_slot() {
    let served = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::task::spawn_local(accept_at_most(2, listener, |mut stream| async move {
            let _ = stream.write_all(b"in").await;
            let _ = stream.read(&mut [0; 8]).await;
        }));
        let mut streams = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect(address).await.expect("connected");
            assert_eq!(stream.read_u16().await.expect("served"), u16::from_be_bytes(*b"in"));
            streams.push(stream);
        }
        let within = Duration::from_secs(5);
        let refused = ask(address, Method::GET, "/api/targets", "", within).await;
        let (status, body) = refused.expect("an answer, not a reset");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(body.starts_with(b"{\"error\":\"2 connections"), "{body:?}");
        drop(streams.pop());
        let start = std::time::Instant::now();
        loop {
            let mut stream = TcpStream::connect(address).await.expect("connected");
            // A refused connection receives nothing until it sends a request.
            if timeout(Duration::from_millis(100), stream.read_u16()).await.is_ok() {
                break;
            }
            assert!(start.elapsed() < within, "the slot of the closed connection is not released");
        }
    };
    tokio::task::LocalSet::new().run_until(served).await;
}
