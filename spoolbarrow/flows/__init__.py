"""Flow export: connections and requests as IPFIX or NetFlow v9 records, and tools that read them."""
