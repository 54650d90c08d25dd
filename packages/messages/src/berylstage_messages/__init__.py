"""Messages that VMs exchange, as generated protobuf and grpclib code.

The generated modules are committed. After a change of ``control.proto``, generate
them again from ``packages/messages/src`` with ``grpcio-tools`` installed::

    python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
        berylstage_messages/control.proto

The generated code imports ``berylstage_messages.control_pb2`` by its full name.
"""
