"""The thrift messages, loaded from peer.thrift without generated code."""

import pathlib

import thriftpy2

PEER_FILE = pathlib.Path(__file__).with_name('peer.thrift')

peer = thriftpy2.load(str(PEER_FILE), module_name='redwingvalve_peer_thrift')
