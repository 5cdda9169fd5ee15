//! A stand-in upstream that answers every request with 200 and its own name. For trials on one machine and for tests
//! with several processes; the balancer does not use it.

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

/// How a stand-in upstream answers.
#[derive(Clone, Debug)]
pub struct StandInOptions {
    /// The name; the response body is the name and a newline.
    pub name: String,
    /// Delay before each response.
    pub delay: Duration,
    /// Every n-th response is a 500; 0 for none.
    pub error_every: u64,
}

/// Answers requests to all paths as `options` say, until the future is dropped. A body over 64 KiB is answered with
/// 413.
pub async fn serve(listener: TcpListener, options: StandInOptions) {
    let (name, count) = (Bytes::from(format!("{}\n", options.name)), Cell::new(0_u64));
    let state = Rc::new((options, name, count));
    calls::accept(listener, move |stream| {
        let state = state.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let state = state.clone();
                async move {
                    let (StandInOptions { delay, error_every, .. }, name, count) = &*state;
                    let body_complete =
                        Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.is_ok();
                    if !delay.is_zero() {
                        sleep(*delay).await;
                    }
                    count.set(count.get() + 1);
                    let mut answer = Response::new(Full::new(name.clone()));
                    if !body_complete {
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
