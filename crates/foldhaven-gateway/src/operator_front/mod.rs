//! The interface for operators: metrics, the status of this daemon and its view of the others,
//! suspected requests, accounts, and the use of error budgets.

mod accounts;
mod status;
mod suspects;

use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_wire::operator::BurnAnswer;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use self::accounts::write_account;
use crate::answer::{Answer, body_answer, refuse};
use crate::explain::explain;
use crate::front::FrontHandler;
use crate::shared::GatewayShared;

/// The target share of requests served on time. Routes do not define their own.
const TARGET_SHARE: f64 = 0.99;

/// Maximum number of accounts in the metrics.
const MAX_METRIC_ACCOUNTS: usize = 1_000;

/// Handles requests of operators.
pub struct OperatorHandler {
    pub shared: Arc<GatewayShared>,
}

#[async_trait]
impl FrontHandler for OperatorHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/metrics" => body_answer(StatusCode::OK, "text/plain", self.metrics_page()),
            "/operator/v1/status" => json_answer(&self.status()),
            "/operator/v1/accounts" => json_answer(&self.accounts()),
            "/operator/v1/suspects" => json_answer(&self.suspects()),
            "/operator/v1/suspects/clear" if request.method() == Method::POST => {
                or_refusal(self.clear_suspect(request.uri().query()))
            }
            "/operator/v1/burn" => json_answer(&self.burn()),
            "/operator/v1/explain-route" => self.explain(request.uri().query()),
            _ => refuse(Refusal::NoRoute),
        }
    }
}

impl OperatorHandler {
    /// Returns the page that metrics collectors read, with a few lines for each account.
    fn metrics_page(&self) -> String {
        let usages = self.shared.accounts.usages(self.shared.now());
        let mut page = self.shared.metrics.page();
        for usage in usages.iter().take(MAX_METRIC_ACCOUNTS) {
            write_account(&mut page, usage);
        }
        page
    }

    /// Returns where the request that a query describes would be sent.
    fn explain(&self, query: Option<&str>) -> Answer {
        or_refusal(explain(&self.shared, query.unwrap_or_default()))
    }

    /// Returns how fast the routes use up their error budgets, based on the requests that this VM
    /// received from callers.
    fn burn(&self) -> BurnAnswer {
        let settings = &self.shared.settings;
        let rows = self.shared.metrics.burn_rows(&settings.data_centre, self.shared.now());
        let targets = rows.iter().map(|row| (row.class.to_string(), TARGET_SHARE)).collect();
        BurnAnswer {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            rows,
            targets,
        }
    }
}

fn or_refusal(answer: Result<impl Serialize, Refusal>) -> Answer {
    match answer {
        Ok(answer) => json_answer(&answer),
        Err(refusal) => refuse(refusal),
    }
}

fn json_answer(answer: &impl Serialize) -> Answer {
    match serde_json::to_vec(answer) {
        Ok(body) => body_answer(StatusCode::OK, "application/json", body),
        Err(error) => {
            tracing::error!(error = %error, "serializing an answer to an operator failed");
            refuse(Refusal::NoDescription)
        }
    }
}
