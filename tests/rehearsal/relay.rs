//! The link between two regions: relays that carry bytes, hold them while the regions are apart, and go on.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

/// All relays of one link; one thread carries them.
pub struct Link {
    apart: watch::Sender<bool>,
    more: mpsc::UnboundedSender<(TcpListener, SocketAddr)>,
}

impl Link {
    pub fn new() -> Self {
        let (apart, held) = watch::channel(false);
        let (more, mut relays) = mpsc::unbounded_channel::<(TcpListener, SocketAddr)>();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                // Ends with its link.
                while let Some((listener, to)) = relays.recv().await {
                    tokio::spawn(accept(listener, to, held.clone()));
                }
            });
        });
        Self { apart, more }
    }

    /// An address of this side that stands for one of the other.
    pub fn relay(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("it can be");
        let address = listener.local_addr().expect("an address");
        self.more.send((listener, to)).expect("its thread lives");
        address
    }

    /// From now on nothing passes; what is sent is held.
    pub fn part(&self) {
        self.apart.send_replace(true);
    }

    /// What was held goes on, and all that comes.
    pub fn join(&self) {
        self.apart.send_replace(false);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, held: watch::Receiver<bool>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("non-blocking");
    while let Ok((near, _)) = listener.accept().await {
        let mut held = held.clone();
        tokio::spawn(async move {
            if held.wait_for(|apart| !apart).await.is_err() {
                return;
            }
            let Ok(far) = TcpStream::connect(to).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            // Either end closes both ways: nobody here half-closes.
            tokio::select! {
                _ = carry(near_in, far_out, held.clone()) => {}
                _ = carry(far_in, near_out, held) => {}
            }
        });
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut held: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut piece = vec![0; 16 << 10];
    loop {
        let n = from.read(&mut piece).await?;
        if held.wait_for(|apart| !apart).await.is_err() || n == 0 {
            return Ok(());
        }
        to.write_all(&piece[..n]).await?;
    }
}
