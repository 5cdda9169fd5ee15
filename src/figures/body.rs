//! The body of a response to a Prometheus scrape.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};

use super::Figures;
use super::upstreams::Page;

/// Metrics in Prometheus's text format, encoded a page at a time as the scraper reads them. After each page other tasks get
/// their turn.
pub struct MetricsBody {
    figures: Rc<Figures>,
    /// What follows; `None` before the metrics of the whole proxy.
    page: Option<Page>,
    yielded: bool,
}

impl MetricsBody {
    pub(super) fn new(figures: Rc<Figures>) -> Self {
        Self { figures, page: None, yielded: true }
    }

    fn next_page(&mut self) -> Option<Result<String, fmt::Error>> {
        match &mut self.page {
            Some(page) => self.figures.upstreams.encode_page(page),
            None => {
                self.page = Some(Page::start());
                Some(self.figures.encode_totals())
            }
        }
    }
}

impl Body for MetricsBody {
    type Data = Bytes;
    type Error = fmt::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, fmt::Error>>> {
        self.yielded = !self.yielded;
        if self.yielded {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let page = self.next_page();
        Poll::Ready(page.map(|page| page.map(|text| Frame::data(Bytes::from(text)))))
    }
}
