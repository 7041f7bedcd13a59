#!/bin/sh
# See claim.txt. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case-2.sh" "$folder" freeze
