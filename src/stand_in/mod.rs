//! A stand-in upstream: answers every request with 200 and its own name. For trials on one machine and for
//! the tests that start several processes; it is no part of the balancer's path.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// PROTOCOL: no body exceeds 64 KiB.
const LIMIT: usize = 64 << 10;

/// Serves until the task is dropped: every request, whatever its path, gets `200` and `name` and a newline;
/// a body over 64 KiB gets 413.
pub async fn serve(listener: TcpListener, name: String) {
    let name: Rc<Bytes> = Rc::new(Bytes::from(format!("{name}\n")));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let name = name.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let name = name.clone();
                async move {
                    let whole = Limited::new(request.into_body(), LIMIT).collect().await.is_ok();
                    let mut answer = Response::new(Full::new((*name).clone()));
                    if !whole {
                        *answer.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
                    }
                    Ok::<_, Infallible>(answer)
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
