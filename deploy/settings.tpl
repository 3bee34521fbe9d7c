vm: {{node}}
data_centre: {{zone}}
regions: {{zones|json}}
addresses:
  caller: {{listen_addresses.frontend}}
  ready: {{listen_addresses.ready}}
  directory: {{listen_addresses.directory}}
  operator: {{listen_addresses.control}}
  peer: {{ip_address}}:{{internal_ports.0}}
  metrics: {{ip_address}}:9464
seeds: [{{seeds}}]
platform: {{platform.address}}
limits:
  retry_ratio: {{bounds.retry_budget_ratio}}
  retry_extra: {{bounds.retry_budget_extra}}
  retry_window_s: {{bounds.budget_window_s}}
  account_share: {{bounds.quota_overshoot}}
  account_extra: {{bounds.quota_slack}}
  account_window_s: {{bounds.quota_window_s}}
cores: {{limits.cpu_share}}
grace_s: {{bounds.grace_s}}
