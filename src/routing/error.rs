use super::path::MAX_PREFIX_BYTES;

/// Why routes were refused, with the key of the first invalid one. Indexes start at 0, as in `routes[3].host`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {}", self.key(), self.cause())]
pub enum RouteError {
    /// The host is neither empty, nor a host name, a wildcard or an IPv6 literal.
    Host {
        /// Index of the route.
        route: usize,
        /// What is wrong with it.
        fault: HostFault,
    },
    /// The prefix is not a valid path prefix.
    Prefix {
        /// Index of the route.
        route: usize,
        /// What is wrong with it.
        fault: PrefixFault,
    },
    /// There is no service with that name.
    Service {
        /// Index of the route.
        route: usize,
        /// The name as written in the configuration.
        service: String,
    },
    /// An earlier route has the same host and prefix, even if for another service.
    Duplicate {
        /// Index of the later route.
        route: usize,
        /// Index of the earlier one.
        first: usize,
    },
}

impl RouteError {
    /// The key at fault, as in `routes[3].host`.
    pub fn key(&self) -> String {
        match self {
            Self::Host { route, .. } => format!("routes[{route}].host"),
            Self::Prefix { route, .. } => format!("routes[{route}].prefix"),
            Self::Service { route, .. } => format!("routes[{route}].service"),
            Self::Duplicate { route, .. } => format!("routes[{route}]"),
        }
    }

    /// Why the value of the key was refused.
    pub fn cause(&self) -> String {
        match self {
            Self::Host { fault, .. } => fault.to_string(),
            Self::Prefix { fault, .. } => fault.to_string(),
            Self::Service { service, .. } => format!("no service is called {service:?}"),
            Self::Duplicate { first, .. } => format!("the same host and prefix as routes[{first}]"),
        }
    }
}

/// What is wrong with a route's host.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostFault {
    /// Two consecutive dots, a leading dot, or a single dot as the whole name.
    #[error("a label of the name is empty")]
    EmptyLabel,
    /// `*` is not the whole first label, or no name follows it.
    #[error("a wildcard is the whole first label, with a name behind it, as in \"*.example.com\"")]
    Wildcard,
    /// Not an ASCII letter, digit or hyphen (RFC 1123, section 2.1). A route's host has no port.
    #[error("{0:?} is no character of a host name")]
    Character(char),
    /// A label longer than DNS allows; its length in bytes.
    #[error("a label has {0} bytes, 63 at most")]
    LongLabel(usize),
    /// A name longer than DNS allows; its length in bytes, for a wildcard without `*.`.
    #[error("the name has {0} bytes, 253 at most")]
    LongName(usize),
    /// An opening bracket without a valid IPv6 literal (RFC 3986, section 3.2.2).
    #[error("not an IPv6 address in brackets")]
    Literal,
}

/// What is wrong with a route's prefix.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PrefixFault {
    /// It does not begin with `/`.
    #[error("does not begin with \"/\"")]
    NoSlash,
    /// `?`, `#`, a space or a control character, which a path can't contain.
    #[error("{0:?} is no character of a path")]
    Character(char),
    /// Longer than the maximum; its length in bytes.
    #[error("has {0} bytes, {MAX_PREFIX_BYTES} at most")]
    Long(usize),
}
