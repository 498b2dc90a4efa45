"""Tests; log lines would only hide their results."""

import logging

logging.getLogger('sesamepoint').addHandler(logging.NullHandler())
logging.getLogger('sesamepoint').propagate = False
