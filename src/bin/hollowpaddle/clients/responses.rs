//! Responses of the proxy itself.

use hollowpaddle::figures::End;
use hollowpaddle::interface::Span;
use hyper::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::request_head::remove_hop_by_hop_headers;
use crate::bodies::{BodyError, ResponseBody};
use crate::engine::Reply;

/// A response to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

pub(super) fn no_route_response(host: &str, path: &str) -> ClientResponse {
    let text = format!("no route: host {host:?}, path {path:?}\n");
    let mut answer = Response::new(ResponseBody::complete(text.into()));
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}

pub(super) fn empty_response(status: StatusCode) -> ClientResponse {
    let mut answer = Response::new(ResponseBody::default());
    *answer.status_mut() = status;
    answer
}

/// The response to a request whose body could not be read to its end.
pub(super) fn body_error_response(why: BodyError, id: &Option<HeaderValue>) -> ClientResponse {
    let request = id.as_ref().and_then(|id| id.to_str().ok());
    tracing::info!(request, %why, "the body of a request");
    empty_response(match why {
        BodyError::Slow => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Cut => StatusCode::BAD_REQUEST,
    })
}

pub(super) fn malformed_response(what: &str) -> ClientResponse {
    let mut answer = Response::new(ResponseBody::complete(format!("malformed: {what}\n").into()));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

/// `Retry-After` in decimal seconds; `None` if the span is not positive.
fn retry_after_value(span: Span) -> Option<HeaderValue> {
    if span.0 <= 0 {
        return None;
    }
    HeaderValue::from_str(&format!("{:.3}", span.f() / 1e6)).ok()
}

/// The response to a client for the engine's answer, and what it counts as.
pub(super) fn reply_response(reply: Reply) -> (End, ClientResponse) {
    match reply {
        Reply::Served(response) => {
            let (mut head, served) = response.into_parts();
            remove_hop_by_hop_headers(&mut head.headers);
            for internal in ["x-load", "x-not-run"] {
                head.headers.remove(internal);
            }
            head.headers.remove(CONTENT_LENGTH);
            let mut answer = Response::new(ResponseBody::from_upstream(served));
            *answer.headers_mut() = head.headers;
            (End::Served, answer)
        }
        Reply::Refused { retry_after } => {
            let mut answer = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(value) = retry_after_value(retry_after) {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
            (End::Refused, answer)
        }
        Reply::Failed { late: true } => (End::Failed, empty_response(StatusCode::GATEWAY_TIMEOUT)),
        Reply::Failed { late: false } => (End::Failed, empty_response(StatusCode::BAD_GATEWAY)),
    }
}
