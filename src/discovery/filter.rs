//! Filter of the list by service, and its form in a query: `service=NAME`, repeatable and percent-encoded.

use std::collections::BTreeSet;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use super::member::{Message, Phase};

/// Characters to encode: all but those of RFC 3986, "Unreserved Characters".
const ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Selects all members, or those of some services. The maximum size of a request head, 64 KiB, limits the encoded names
/// together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Filter(Option<BTreeSet<String>>);

impl Filter {
    /// Matches every member, whatever its service.
    pub fn all() -> Self {
        Self(None)
    }

    /// Matches only members of these services; the empty name stands for members without a service.
    pub fn services(names: impl IntoIterator<Item = impl Into<String>>) -> Self {
        Self(Some(names.into_iter().map(Into::into).collect()))
    }

    /// The selected services; `None` if the filter matches all members.
    pub fn names(&self) -> Option<&BTreeSet<String>> {
        self.0.as_ref()
    }

    /// Whether members of this service match.
    pub fn matches(&self, service: &str) -> bool {
        self.0.as_ref().is_none_or(|names| names.contains(service))
    }

    /// The query parameters of this filter, to be appended to others. A query can't express an empty set of services,
    /// so that set requests the members without a service, and [`Self::apply_to`] removes them.
    pub fn query(&self) -> String {
        let Some(names) = &self.0 else { return String::new() };
        if names.is_empty() {
            return "&service=".to_owned();
        }
        names.iter().map(|n| format!("&service={}", utf8_percent_encode(n, ENCODE_SET))).collect()
    }

    /// Adds the value of one `service` parameter of a query.
    ///
    /// # Errors
    /// The decoded name is not UTF-8.
    pub fn add(&mut self, encoded: &str) -> Result<(), &'static str> {
        let name = percent_decode_str(encoded).decode_utf8().map_err(|_| "service is UTF-8")?;
        self.0.get_or_insert_default().insert(name.into_owned());
        Ok(())
    }

    /// Filters a message from a list service that does not support filters. Members of other services are removed from
    /// a full list and marked as deleted among changes. Unreadable entries are retained, as their service is unknown.
    pub fn apply_to(&self, message: &mut Message) {
        let keep =
            |m: &super::member::Member| self.matches(&m.service) || m.phase == Phase::Unknown;
        if message.complete {
            message.members.retain(keep);
        }
        let others = message.members.iter_mut().filter(|m| !keep(m));
        others.for_each(|m| m.phase = Phase::Deleted);
    }
}

#[cfg(test)]
mod tests;
