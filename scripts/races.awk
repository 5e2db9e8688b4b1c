# Filters the output of tests under the race detector. Prints each report in which the project's own code, as opposed
# to a library that it calls, makes one of the two accesses. Exits 1 if there is such a report.

/WARNING: DATA RACE/ { inside = 1; report = ""; own = 0 }
!inside { next }
{ report = report $0 "\n" }
/^==========/ {
	if (own) { printf "%s", report; found = 1 }
	inside = 0
	next
}
/^(Read|Write|Previous read|Previous write|Atomic|Previous atomic).* at 0x/ { access = 1; next }
/created at:/ { access = 0 }

# An access is attributed to the first frame of its stack that is not in the standard library.
access && /^  [^ ]/ {
	name = $1
	if (name ~ /^pimentoseam\//) { own = 1; access = 0 }
	else if (name ~ /^[^\/]*\.[^\/]*\//) access = 0
}

END { exit found }
