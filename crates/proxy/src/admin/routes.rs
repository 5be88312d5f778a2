//! The routes of the admin API, by method and path.

use hyper::Method;
use percent_encoding::percent_decode_str;

/// A route of the admin API.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// Returns whether the process is ready.
    Ready,
    /// Returns the settings versions in force.
    Settings,
    /// Returns the status of discovery and of its endpoint list.
    Discovery,
    /// Suspends or resumes a backend.
    SetSuspended {
        /// The backend's name, or `None` if the path segment does not decode to UTF-8.
        backend: Option<String>,
        /// `true` to suspend, `false` to resume.
        is_suspended: bool,
    },
    /// Drains or activates the proxy.
    SetDraining {
        /// `true` to drain, `false` to activate.
        is_draining: bool,
    },
}

/// The reason why a request matches no route.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RouteError {
    UnknownPath,
    WrongMethod { allowed: Method },
}

impl Route {
    pub(super) fn parse(method: &Method, path: &str) -> Result<Route, RouteError> {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let (allowed, route) = match parts[..] {
            ["v1", "readyz"] => (Method::GET, Route::Ready),
            ["v1", "settings"] => (Method::GET, Route::Settings),
            ["v1", "discovery"] => (Method::GET, Route::Discovery),
            ["v1", "backends", id, "suspend"] => (Method::POST, set_suspended(id, true)),
            ["v1", "backends", id, "resume"] => (Method::POST, set_suspended(id, false)),
            ["v1", "proxy", "drain"] => (Method::POST, Route::SetDraining { is_draining: true }),
            ["v1", "proxy", "activate"] => (Method::POST, Route::SetDraining { is_draining: false }),
            _ => return Err(RouteError::UnknownPath),
        };
        if *method == allowed { Ok(route) } else { Err(RouteError::WrongMethod { allowed }) }
    }
}

fn set_suspended(id: &str, is_suspended: bool) -> Route {
    let name = percent_decode_str(id).decode_utf8().ok();
    Route::SetSuspended { backend: name.map(|name| name.into_owned()), is_suspended }
}
