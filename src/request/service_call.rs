//! Calls of plain services, which are passed through from the entry that the caller chose.
//!
//! A call goes to another server of the service only if it certainly was not sent, or if its route
//! says that it may be repeated.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::{Request, Response};

use crate::connection::body::Body;
use crate::connection::http_client::ClientError;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::TeamId;
use crate::process::entry::Entry;
use crate::version::config::{Config, Service, ServiceRoute};

/// Longest answer of a service.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

thread_local! {
    /// Spreads calls over the servers of a service.
    static NEXT_SERVER: Cell<usize> = const { Cell::new(0) };
}

/// Calls the service that the path names.
pub async fn respond(
    entry: &Rc<Entry>,
    config: &Rc<Config>,
    team_id: &TeamId,
    rest: &str,
    request: Request<Bytes>,
) -> Result<Response<Body>> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = config.services.get(name).ok_or_else(|| {
        Error::new(
            ErrorKind::NotFound,
            format!("there is no service `{name}`; check its name"),
        )
    })?;
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let route = find_route(service, request.method().as_str(), &path).ok_or_else(|| {
        let message = format!(
            "the service `{name}` has no route for {} {path}",
            request.method()
        );
        Error::new(ErrorKind::NotFound, message)
    })?;
    let request = strip(request, &path, team_id)?;
    call(entry, config, name, service, route, request).await
}

fn find_route<'a>(service: &'a Service, method: &str, path: &str) -> Option<&'a ServiceRoute> {
    let matches =
        |route: &&ServiceRoute| route.method == method && path.starts_with(&route.path_prefix);
    service.routes.iter().find(matches)
}

/// Removes what is meant for this entry only, above all the caller's key.
fn strip(request: Request<Bytes>, path: &str, team_id: &TeamId) -> Result<Request<Bytes>> {
    let (mut head, body) = request.into_parts();
    head.uri = path.parse().map_err(|_| {
        Error::new(
            ErrorKind::BadRequest,
            format!("the path `{path}` is not valid"),
        )
    })?;
    for name in [AUTHORIZATION, HOST, CONNECTION, TRANSFER_ENCODING] {
        head.headers.remove(name);
    }
    if let Ok(value) = team_id.parse() {
        head.headers.insert("x-team", value);
    }
    Ok(Request::from_parts(head, body))
}

async fn call(
    entry: &Rc<Entry>,
    config: &Config,
    name: &str,
    service: &Service,
    route: &ServiceRoute,
    request: Request<Bytes>,
) -> Result<Response<Body>> {
    let first = NEXT_SERVER.replace(NEXT_SERVER.get().wrapping_add(1));
    let count = service.addresses.len();
    let mut may_have_run = false;
    let mut last_error = None;
    for index in 0..count {
        let address = service.addresses[(first + index) % count];
        let sent = entry.http.fetch(
            address,
            request.clone(),
            service.timeout,
            ANSWER_LIMIT_BYTES,
        );
        let error = match sent.await {
            Ok(response) => return Ok(pass_answer(response)),
            Err(error) => error,
        };
        may_have_run |= !error.is_not_sent();
        let may_repeat = error.is_not_sent()
            || (route.repeatable && entry.retry_budget.try_retry(config.limits.retry_percent));
        last_error = Some(error);
        if !may_repeat {
            break;
        }
    }
    Err(failure(name, may_have_run, last_error))
}

fn failure(name: &str, may_have_run: bool, cause: Option<ClientError>) -> Error {
    let error = if may_have_run {
        let message = format!("it is not known whether the call of the service `{name}` ran");
        Error::new(ErrorKind::ServiceInDoubt, message)
    } else {
        let message = format!("no server of the service `{name}` can be reached; come back later");
        Error::new(ErrorKind::NoBackendServer, message)
    };
    match cause {
        Some(cause) => error.with_cause(cause),
        None => error,
    }
}

fn pass_answer(response: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    for name in [CONNECTION, TRANSFER_ENCODING] {
        head.headers.remove(name);
    }
    Response::from_parts(head, Body::full(body))
}
