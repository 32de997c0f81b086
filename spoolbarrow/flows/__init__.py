"""Flow export: connections and requests as IPFIX or NetFlow v9 records; and what reads them again."""
