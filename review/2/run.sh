#!/bin/sh
# Plays the case. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." && exec target/review-cases lease review/2
