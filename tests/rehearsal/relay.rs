//! The link between two regions: relays that forward bytes and hold them back during a partition.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

/// All relays of one link, run by one thread.
pub struct Link {
    partitioned: watch::Sender<bool>,
    new_relays: mpsc::UnboundedSender<(TcpListener, SocketAddr)>,
}

impl Link {
    pub fn new() -> Self {
        let (partitioned, partition) = watch::channel(false);
        let (new_relays, mut relays) = mpsc::unbounded_channel::<(TcpListener, SocketAddr)>();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                // Ends when the link is dropped.
                while let Some((listener, to)) = relays.recv().await {
                    tokio::spawn(accept(listener, to, partition.clone()));
                }
            });
        });
        Self { partitioned, new_relays }
    }

    /// Returns a local address that forwards to `to` in the other region.
    pub fn relay(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("non-blocking mode");
        let address = listener.local_addr().expect("an address");
        self.new_relays.send((listener, to)).expect("the relay thread runs");
        address
    }

    /// Starts a partition: nothing is forwarded, and sent data is held back.
    pub fn part(&self) {
        self.partitioned.send_replace(true);
    }

    /// Ends the partition: data held back and new data are forwarded.
    pub fn join(&self) {
        self.partitioned.send_replace(false);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, partition: watch::Receiver<bool>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("non-blocking");
    while let Ok((local, _)) = listener.accept().await {
        let mut partition = partition.clone();
        tokio::spawn(async move {
            if partition.wait_for(|partitioned| !partitioned).await.is_err() {
                return;
            }
            let Ok(remote) = TcpStream::connect(to).await else { return };
            let _ = (local.set_nodelay(true), remote.set_nodelay(true));
            let ((local_in, local_out), (remote_in, remote_out)) =
                (local.into_split(), remote.into_split());
            // The end of either direction closes both, as no process here half-closes connections.
            tokio::select! {
                _ = forward(local_in, remote_out, partition.clone()) => {}
                _ = forward(remote_in, local_out, partition) => {}
            }
        });
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut partition: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let n = from.read(&mut buffer).await?;
        if partition.wait_for(|partitioned| !partitioned).await.is_err() || n == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..n]).await?;
    }
}
