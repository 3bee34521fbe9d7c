//! The loop that gives engines their orders.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::placement::EngineOrder;

use super::KeeperAddress;
use super::messages::{AddressedOrder, PlanOrders};
use crate::shared::SharedState;

const INTERVAL: Duration = Duration::from_millis(500);
const ORDER_LIMIT: Duration = Duration::from_millis(800);

/// Sends the orders that are due. One that is lost is simply due again in the next round.
pub(super) async fn order_loop(shared: Arc<SharedState>, keeper: KeeperAddress) {
    let Ok(client) = reqwest::Client::builder().timeout(ORDER_LIMIT).build() else {
        return tracing::error!(step = "making the order client", "no engine can be ordered");
    };
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Ok(orders) = keeper.send(PlanOrders).await else { return };
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
