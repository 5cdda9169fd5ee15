//! Host names: validates those of routes and extracts those of requests from the authority.

use std::borrow::Cow;
use std::net::Ipv6Addr;

use super::error::HostFault;

/// Longest name and longest label, in bytes (RFC 1035, section 2.3.4; a name without its trailing dot).
const MAX_NAME_BYTES: usize = 253;
const MAX_LABEL_BYTES: usize = 63;

/// The host of a route, in lower case and without a trailing dot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Pattern {
    Any,
    Exact(String),
    /// Matches all names that end in a dot followed by this name.
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

/// The host of a request's authority: without port and trailing dot, in lower case. An invalid authority keeps its
/// invalid characters, so that it equals no route's host.
pub(super) fn from_authority(authority: &str) -> Cow<'_, str> {
    let host = match authority.rsplit_once(':') {
        // The colons within the brackets of an IPv6 literal do not separate a port.
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

/// Whether this is an IPv6 literal without its closing bracket.
fn is_unclosed_literal(host: &str) -> bool {
    host.starts_with('[') && !host.ends_with(']')
}

/// The parts of `host` after each dot that have at most `max_len` bytes, the longest first. An invalid host name, with
/// an empty label or a character that delimits the parts of a URI (RFC 3986, section 2.2), has none.
pub(super) fn suffixes(host: &str, max_len: usize) -> impl Iterator<Item = &str> {
    let empty_label = host.starts_with('.') || host.contains("..");
    let is_name = !empty_label && !host.contains([':', '/', '?', '#', '[', ']', '@']);
    // The dot before a suffix of at most `max_len` bytes is here or later.
    let start = if is_name { host.len().saturating_sub(max_len + 1) } else { host.len() };
    let dots = host.bytes().enumerate().skip(start).filter(|(_, b)| *b == b'.');
    dots.map(|(dot, _)| &host[dot + 1..])
}
