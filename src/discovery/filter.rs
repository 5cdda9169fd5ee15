//! Which services' members a reader of the list is told of, and how a call names them: `service=NAME`, repeatable,
//! percent-encoded.

use std::collections::BTreeSet;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

use super::member::{Message, Phase};

/// What a query may have as it is (RFC 3986, "Unreserved Characters").
const ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// All members, or those of some services. All names together are bounded by the head of a call: 64 KiB, encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Filter(Option<BTreeSet<String>>);

impl Filter {
    /// Every member, whatever its service.
    pub fn all() -> Self {
        Self(None)
    }

    /// Only members of these services; the empty name stands for members without one.
    pub fn services(names: impl IntoIterator<Item = impl Into<String>>) -> Self {
        Self(Some(names.into_iter().map(Into::into).collect()))
    }

    /// The services, where only some are told of.
    pub fn names(&self) -> Option<&BTreeSet<String>> {
        self.0.as_ref()
    }

    /// Whether members of this service are told of.
    pub fn matches(&self, service: &str) -> bool {
        self.0.as_ref().is_none_or(|names| names.contains(service))
    }

    /// What a call's query says of it, behind other parameters. A call can't name no service: it asks for the
    /// members without one, and [`Self::apply_to`] leaves them out.
    pub fn query(&self) -> String {
        let Some(names) = &self.0 else { return String::new() };
        if names.is_empty() {
            return "&service=".to_owned();
        }
        names.iter().map(|n| format!("&service={}", utf8_percent_encode(n, ENCODE_SET))).collect()
    }

    /// Takes in one `service` of a query.
    ///
    /// # Errors
    /// The name is no UTF-8.
    pub fn add(&mut self, encoded: &str) -> Result<(), &'static str> {
        let name = percent_decode_str(encoded).decode_utf8().map_err(|_| "service is UTF-8")?;
        self.0.get_or_insert_default().insert(name.into_owned());
        Ok(())
    }

    /// Makes a message one of this filter where it was told by somebody who knows none: what is another service's
    /// is left out of a whole list, and gone in a change. An entry that can't be read may be anybody's.
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
