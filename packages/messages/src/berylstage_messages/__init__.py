"""Messages that VMs exchange, as generated protobuf code."""
