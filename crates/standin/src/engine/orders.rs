//! Orders to the engine, such as to load a model, with an optional check of their fencing number.

use hyper::{Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::json_response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::response;

/// Body of `POST /v1/orders`. The order itself is not interpreted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    fencing_number: u64,
    order: Value,
}

/// The accepted orders and the state of the fencing check.
pub struct Orders {
    checks_fencing: bool,
    highest_fencing_number: u64,
    accepted: Vec<Order>,
}

impl Orders {
    /// Creates an empty list. `checks_fencing` enables the check of fencing numbers.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest_fencing_number: 0,
            accepted: Vec::new(),
        }
    }

    /// Returns the accepted orders, oldest first.
    pub fn accepted(&self) -> &[Order] {
        &self.accepted
    }

    /// Accepts an order. If the check is enabled, an order whose fencing number is less than the
    /// highest accepted one is rejected with status 409.
    pub fn submit(&mut self, order: Order) -> Response<Body> {
        if self.checks_fencing && order.fencing_number < self.highest_fencing_number {
            let body = json!({"highest_fencing_number": self.highest_fencing_number});
            return json_response(StatusCode::CONFLICT, &body);
        }
        self.highest_fencing_number = self.highest_fencing_number.max(order.fencing_number);
        self.accepted.push(order);
        response::ok(&json!({}))
    }
}
