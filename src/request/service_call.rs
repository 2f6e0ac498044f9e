//! Calls of services, proxied by the entry that receives the request.
//!
//! A failed call is retried on another server of the service only if it was certainly not sent, or
//! if its route is marked as repeatable and the retry budget allows it.

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

/// Largest response of a service that is accepted.
const RESPONSE_LIMIT_BYTES: usize = 16 << 20;

thread_local! {
/// Round-robin counter that spreads calls over the servers of a service.
static NEXT_SERVER: Cell<usize> = const { Cell::new(0) }; }

/// Calls the service that `rest`, the path after `/v1/services/`, names, and returns its response.
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
            format!("unknown service `{name}`; check its name"),
        )
    })?;
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let route = find_route(service, request.method().as_str(), &path).ok_or_else(|| {
        let message = format!(
            "service `{name}` has no route for {} {path}",
            request.method()
        );
        Error::new(ErrorKind::NotFound, message)
    })?;
    let request = prepare_request(request, &path, team_id)?;
    call(entry, config, name, service, route, request).await
}

fn find_route<'a>(service: &'a Service, method: &str, path: &str) -> Option<&'a ServiceRoute> {
    let matches =
        |route: &&ServiceRoute| route.method == method && path.starts_with(&route.path_prefix);
    service.routes.iter().find(matches)
}

/// Rewrites a caller's request for the service: sets the path and the header `x-team`, and removes
/// the headers that are meant for this entry only, above all the caller's key.
fn prepare_request(
    request: Request<Bytes>,
    path: &str,
    team_id: &TeamId,
) -> Result<Request<Bytes>> {
    let (mut head, body) = request.into_parts();
    head.uri = path
        .parse()
        .map_err(|_| Error::new(ErrorKind::BadRequest, format!("path `{path}` is not valid")))?;
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
        let sent = entry.service_http.fetch(
            address,
            request.clone(),
            service.timeout,
            RESPONSE_LIMIT_BYTES,
        );
        let error = match sent.await {
            Ok(response) => return Ok(forward_response(response)),
            Err(error) => error,
        };
        may_have_run |= !error.is_not_sent();
        let may_repeat = error.is_not_sent()
            || (route.repeatable && entry.retry_budget.try_acquire(config.limits.retry_percent));
        last_error = Some(error);
        if !may_repeat {
            break;
        }
    }
    Err(call_error(name, may_have_run, last_error))
}

fn call_error(name: &str, may_have_run: bool, cause: Option<ClientError>) -> Error {
    let error = if may_have_run {
        let message = format!("it is unknown whether the call of service `{name}` ran");
        Error::new(ErrorKind::ServiceInDoubt, message)
    } else {
        let message = format!("no server of service `{name}` can be reached; retry later");
        Error::new(ErrorKind::NoBackendServer, message)
    };
    match cause {
        Some(cause) => error.with_cause(cause),
        None => error,
    }
}

fn forward_response(response: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    for name in [CONNECTION, TRANSFER_ENCODING] {
        head.headers.remove(name);
    }
    Response::from_parts(head, Body::full(body))
}
