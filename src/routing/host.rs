//! Host names: of routes, checked, and of requests, taken from their authority.

use std::borrow::Cow;
use std::net::Ipv6Addr;

use super::error::HostFault;

/// Longest name and longest label, in bytes (RFC 1035, section 2.3.4; a name without its trailing dot).
const MAX_NAME_BYTES: usize = 253;
const MAX_LABEL_BYTES: usize = 63;

/// The host of a route, in lower case and without trailing dot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Pattern {
    Any,
    Exact(String),
    /// All names that end in a dot and this one.
    Wildcard(String),
}

impl Pattern {
    pub(super) fn parse(stated: &str) -> Result<Self, HostFault> {
        if stated.is_empty() {
            return Ok(Self::Any);
        }
        if let Some(rest) = stated.strip_prefix('[') {
            let address = rest.strip_suffix(']').ok_or(HostFault::Literal)?;
            address.parse::<Ipv6Addr>().map_err(|_| HostFault::Literal)?;
            return Ok(Self::Exact(stated.to_ascii_lowercase()));
        }
        let name = stated.strip_suffix('.').unwrap_or(stated);
        match name.strip_prefix("*.") {
            Some(suffix) => Ok(Self::Wildcard(validate_name(suffix)?)),
            None => Ok(Self::Exact(validate_name(name)?)),
        }
    }
}

fn validate_name(name: &str) -> Result<String, HostFault> {
    for label in name.split('.') {
        if label.is_empty() {
            return Err(HostFault::EmptyLabel);
        }
        if label.contains('*') {
            return Err(HostFault::Wildcard);
        }
        if let Some(c) = label.chars().find(|c| !c.is_ascii_alphanumeric() && *c != '-') {
            return Err(HostFault::Character(c));
        }
        if label.len() > MAX_LABEL_BYTES {
            return Err(HostFault::LongLabel(label.len()));
        }
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(HostFault::LongName(name.len()));
    }
    Ok(name.to_ascii_lowercase())
}

/// The host of a request's authority: without port and trailing dot, in lower case. What is no authority comes back
/// with what is wrong in it, so that it equals no route's name.
pub(super) fn from_authority(authority: &str) -> Cow<'_, str> {
    let host = match authority.rsplit_once(':') {
        // The colons of a literal stand between its brackets.
        Some((host, port))
            if port.bytes().all(|b| b.is_ascii_digit()) && !is_unclosed_literal(host) =>
        {
            host
        }
        _ => authority,
    };
    let host = if host.starts_with('[') { host } else { host.strip_suffix('.').unwrap_or(host) };
    if host.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// Whether this is a literal cut off before its closing bracket.
fn is_unclosed_literal(host: &str) -> bool {
    host.starts_with('[') && !host.ends_with(']')
}

/// What follows each dot of `host` and has at most `longest` bytes, the longest first. What is no host name, by an
/// empty label or a character that delimits the parts of a URI (RFC 3986, section 2.2), has none.
pub(super) fn suffixes(host: &str, max_len: usize) -> impl Iterator<Item = &str> {
    let empty_label = host.starts_with('.') || host.contains("..");
    let is_name = !empty_label && !host.contains([':', '/', '?', '#', '[', ']', '@']);
    // The dot before a suffix that is not too long stands here or later.
    let start = if is_name { host.len().saturating_sub(max_len + 1) } else { host.len() };
    let dots = host.bytes().enumerate().skip(start).filter(|(_, b)| *b == b'.');
    dots.map(|(dot, _)| &host[dot + 1..])
}
