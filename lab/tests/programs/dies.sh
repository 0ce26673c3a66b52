#!/bin/sh
# A node that cannot start.
echo "no such thing" >&2
exit 3
