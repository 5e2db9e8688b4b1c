#!/usr/bin/env bash
# Plays the deployments that must hold on the platform's bench, one score a deployment. Not part of CI.
# Usage: regress.sh BENCH SITES [JOBS]; BENCH is the program, SITES the folder with the deployments' folders.
set -u
bench=${1:?the path of the bench} sites=${2:?the folder of the deployments} jobs=${3:-3}
cd "$(dirname "$0")/.."
bad=0
for site in large/apra-redirect-large further/hubermayr-portal further-grown/hubermayr-portal-grown \
	grown/apra-redirect-grown grown/lysraad-scener-grown; do
	out=$("$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression run") || bad=1
	grep -E '^(score|GATE)' <<<"$out" || bad=1
	grep -q '^GATE passed' <<<"$out" || bad=1
done
exit "$bad"
