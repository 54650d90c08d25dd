"""Messages that VMs exchange, as generated protobuf code.

``make proto`` writes the generated modules anew after a change of a ``.proto`` file.
"""
