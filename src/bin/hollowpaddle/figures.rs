//! What operators are told of the service, counted where it happens and never taken back.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::{Map, Value, json};

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
}

#[derive(Default)]
struct Responses {
    name: String,
    ok: Cell<u64>,
    shed: Cell<u64>,
    errors: Cell<u64>,
}

pub struct Figures {
    responses: Vec<Responses>,
    /// Attempts whose last byte was handed over to an upstream; the streams to upstreams count them.
    pub tries: Rc<Cell<u64>>,
    active: Cell<u64>,
}

fn add_one(to: &Cell<u64>) {
    to.set(to.get() + 1);
}

impl Figures {
    /// Every class is there from the start: an absent one could not be told from one that is never counted.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Rc<Self> {
        let responses = classes
            .map(|name| Responses { name: name.to_owned(), ..Responses::default() })
            .collect();
        Rc::new(Self { responses, tries: Rc::default(), active: Cell::new(0) })
    }

    /// A request has been taken.
    pub fn take(self: &Rc<Self>, class: usize) -> Taken {
        add_one(&self.active);
        Taken { figures: self.clone(), class, end: Cell::new(None) }
    }

    /// The figures as operators read them, with what the module tells of its upstreams.
    pub fn told(&self, (pool_size, pool_ejected): (usize, usize)) -> Value {
        let responses: Map<String, Value> = self
            .responses
            .iter()
            .map(|r| {
                let (ok, shed, errors) = (r.ok.get(), r.shed.get(), r.errors.get());
                (r.name.clone(), json!({"ok": ok, "shed": shed, "errors": errors}))
            })
            .collect();
        json!({
            "responses": responses,
            "tries": self.tries.get(),
            "active": self.active.get(),
            "pool_size": pool_size,
            "pool_ejected": pool_ejected,
        })
    }
}

/// A request from its last byte to the last byte of its answer. It goes with the answer, and counts when that
/// is done with; a client that left before there was one counts under nothing.
pub struct Taken {
    figures: Rc<Figures>,
    class: usize,
    end: Cell<Option<End>>,
}

impl Taken {
    /// What it will count as; the last word holds.
    pub fn ends(&self, end: End) {
        self.end.set(Some(end));
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let figures = &self.figures;
        figures.active.set(figures.active.get() - 1);
        let Some(responses) = figures.responses.get(self.class) else { return };
        match self.end.get() {
            Some(End::Served) => add_one(&responses.ok),
            Some(End::Refused) => add_one(&responses.shed),
            Some(End::Failed) => add_one(&responses.errors),
            None => {}
        }
    }
}
