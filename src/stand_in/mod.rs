//! A stand-in upstream: answers every request with 200 and its own name. For trials on one machine and for
//! the tests that start several processes; it is no part of the balancer's path.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::calls::{self, MAX_BODY_BYTES};
use crate::socket::Socket;

/// How it answers.
#[derive(Clone, Debug)]
pub struct Manner {
    /// What it answers with, and a newline.
    pub name: String,
    /// How long each answer takes.
    pub delay: Duration,
    /// One answer in so many is a 500; 0 for none.
    pub error_every: u64,
}

/// Serves until the task is dropped: every request, whatever its path, is answered so; a body over 64 KiB gets 413.
pub async fn serve(listener: TcpListener, manner: Manner) {
    let (name, count) = (Bytes::from(format!("{}\n", manner.name)), Cell::new(0_u64));
    let manner = Rc::new((manner, name, count));
    calls::accept(listener, move |stream| {
        let manner = manner.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let manner = manner.clone();
                async move {
                    let (Manner { delay, error_every, .. }, name, count) = &*manner;
                    let whole =
                        Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.is_ok();
                    if !delay.is_zero() {
                        sleep(*delay).await;
                    }
                    count.set(count.get() + 1);
                    let mut answer = Response::new(Full::new(name.clone()));
                    if !whole {
                        *answer.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
                    } else if count.get().checked_rem(*error_every) == Some(0) {
                        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                    }
                    Ok::<_, Infallible>(answer)
                }
            });
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(Socket::new(stream)), service)
                .await;
        }
    })
    .await;
}
