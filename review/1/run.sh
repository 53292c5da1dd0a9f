#!/usr/bin/env bash
exec "$(dirname "$0")/../kit/run.sh" 1
