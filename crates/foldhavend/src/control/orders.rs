//! The task that sends orders to engines.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::placement::EngineOrder;

use super::ControlAddress;
use super::messages::{AddressedOrder, PlanOrders};
use crate::shared::SharedState;

/// Interval between two rounds of orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends the orders that are due. A lost order is due again in the next round.
pub(super) async fn order_loop(shared: Arc<SharedState>, actor: ControlAddress) {
    let Ok(client) = reqwest::Client::builder().timeout(ORDER_TIMEOUT).build() else {
        return tracing::error!(step = "making the order client", "no orders can be sent");
    };
    loop {
        tokio::time::sleep(ORDER_INTERVAL).await;
        let Ok(orders) = actor.send(PlanOrders).await else { return };
        for AddressedOrder { order, address } in orders {
            let sent = send_order(&client, &order, address).await;
            shared.metrics.count_event("order");
            match sent {
                Ok(status) => tracing::info!(
                    step = "ordering",
                    peer = %order.engine,
                    action = ?order.action,
                    status = status.as_u16(),
                    "order sent"
                ),
                Err(error) => tracing::warn!(
                    step = "ordering",
                    peer = %order.engine,
                    error = %error,
                    "order not answered"
                ),
            }
        }
    }
}

async fn send_order(
    client: &reqwest::Client,
    order: &EngineOrder,
    address: std::net::SocketAddr,
) -> reqwest::Result<reqwest::StatusCode> {
    let url = format!("http://{address}/orders");
    Ok(client.post(url).json(order).send().await?.status())
}
