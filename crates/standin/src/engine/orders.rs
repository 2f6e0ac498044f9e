//! Orders to the engine, with or without a check of their fencing number.

use hyper::{Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::json_response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::response;

/// An order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    fencing_number: u64,
    order: Value,
}

/// The orders that were accepted.
pub struct Orders {
    checks_fencing: bool,
    highest_fencing_number: u64,
    accepted: Vec<Order>,
}

impl Orders {
    /// No orders yet.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest_fencing_number: 0,
            accepted: Vec::new(),
        }
    }

    /// The accepted orders, oldest first.
    pub fn accepted(&self) -> &[Order] {
        &self.accepted
    }

    /// Accepts an order, or refuses it with 409 if its fencing number is old and is checked.
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
