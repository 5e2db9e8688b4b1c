#!/usr/bin/env bash
# Mutation testing: applies each mutant to a copy of the tree and runs the test that must detect it there.
# Prints one line for each mutant. Exits 1 if a mutant does not apply or build, or if its test passes.
# Usage: mutants.sh [NAME]; NAME selects one mutant.
set -u
cd "$(dirname "$0")/.."
only=${1:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
bad=0

# mutant NAME PACKAGE TEST FILE PERL [FILE PERL ...] tests one mutant. Each PERL is a substitution that is applied
# to the whole content of its FILE. TEST must fail; the first line of its output that states a failure is printed.
mutant() {
	if [ -n "$only" ] && [ "$only" != "$1" ]; then return; fi
	rm -rf "$work/tree"
	mkdir "$work/tree"
	git ls-files -z | xargs -0 cp --parents -t "$work/tree"
	local at
	for ((at = 4; at < $#; at += 2)); do
		local file=${!at} next=$((at + 1))
		perl -0pi -e "${!next}" "$work/tree/$file"
		if cmp -s "$file" "$work/tree/$file"; then
			echo "$1: the mutant of $file does not apply"
			bad=1
			return
		fi
	done
	if ! (cd "$work/tree" && go build ./...) >"$work/log" 2>&1; then
		echo "$1: the mutant does not build: $(sed -n 2p "$work/log")"
		bad=1
		return
	fi
	if (cd "$work/tree" && go test -count=1 -run "^$3\$" "./$2") >"$work/log" 2>&1; then
		echo "$1: $3 PASSES on the mutant"
		bad=1
		return
	fi
	echo "$1: $3 fails on the mutant: $(grep -v level= "$work/log" | grep -m1 -E '_test.go:[0-9]+:.*(got|want|ran|not within|cut|older|history|went|new requests|were|took|wrong|short answer|is Illegal|reached|blocks|blocked)' | sed 's/^ *//' | cut -c1-150)"
}

mutant at-most-once io/fleet TestAtMostOnce core/dedup/dedup.go 's/return found\.state\n\t\}\n\tif minted\.After\(now/return Fresh\n\t}\n\tif minted.After(now/'
mutant forget-lost io/fleet TestAtMostOnce io/agent/nonrepeatable.go 's/table\.MarkUnknown\(k\.run\.Key\)/table.Release(k.run.Key)/'
mutant no-floor io/fleet TestAtMostOnce core/dedup/dedup.go 's/t\.startWatermark = start\.Add\(t\.maxSkew\)//'
mutant no-former io/fleet TestMembers core/parts/changes.go 's/h\.Changes = append\(h\.Changes, c\)/_ = append(h.Changes, c)/'
mutant no-bar io/fleet TestReplaced io/entry/relayonce.go 's/q\.run\.Tombstone \|\| q\.mayHaveBeenSkipped\(up\.conf\.Load\(\)\.Name\)/q.run.Tombstone/'
mutant no-handover io/fleet TestPlannedService io/entry/plannedstop.go 's/s\.noSuccessorAt, s\.lastRefusedDialAt = dialStart, dialStart/s.noSuccessorAt = dialStart/'
mutant keep-leaving io/fleet TestLeavingService io/entry/relayonce.go 's/q\.run\.Tombstone = q\.takesNoNewKeys\(up\)/q.run.Tombstone = false/'
mutant unfinished-order io/fleet TestOrderFaults io/agent/reconciler.go 's/state\.Phase == phaseReady/true/'
mutant no-drain io/fleet TestPlannedChanges io/agent/reconciler.go 's/\tr\.drain\(ctx\)\n//'
mutant no-epoch io/fleet TestLeadFrozen io/entry/election.go 's/old\.storeRevision, ""\)/el.blind(ctx, target), "")/; s/err == nil && !alive/false \&\& !alive/; s/\z/\nfunc (el *election) blind(ctx context.Context, target string) int64 {\n\titem, _ := el.entry.store.Get(ctx, planPrefix+target)\n\treturn item.Revision\n}\n/' io/agent/reconciler.go 's/if r\.announced\.Newer\(p\) \|\| \(r\.plan != nil && r\.plan\.Newer\(p\)\)/if false/; s/return !r\.announced\.Newer\(p\)/return p != nil/'
mutant blind-write io/fleet TestLateWrite io/entry/election.go 's/old\.storeRevision, ""\)/-1, "")/' io/simkv/service.go 's/old\.revision != expected/expected >= 0 && old.revision != expected/' io/agent/reconciler.go 's/if r\.announced\.Newer\(p\) \|\| \(r\.plan != nil && r\.plan\.Newer\(p\)\)/if false/; s/return !r\.announced\.Newer\(p\)/return p != nil/; s/!announced\.Newer\(&r\.announced\)/announced.Epoch == r.announced.Epoch && announced.Revision == r.announced.Revision/'
mutant no-quiet io/fleet TestLateOrder io/agent/reconciler.go 's/r\.earlierCommandsExpired = r\.earlierCommandsExpired.*/r.earlierCommandsExpired = true/'
mutant any-attempt io/fleet TestCrossedFrames io/entry/upstream.go 's/attemptID\{m\.ID, m\.Attempt\}/attemptID{m.ID, 1}/g'
mutant no-offset io/fleet TestCrossedFrames io/entry/transfer.go 's/m\.Offset != t\.received/false/'
mutant no-resume io/fleet TestSilentLink io/agent/outbox.go 's/o\.conn = c\n\to\.isHeadSent/o.ackedOffset = offset + 1\n\to.conn = c\n\to.isHeadSent/'
mutant deaf io/fleet TestSilentLink io/link/link.go 's/maxMissedHeartbeats = 4/maxMissedHeartbeats = 400/'
mutant patient io/fleet TestSilentUpstream io/entry/request.go 's/maxSilence            = 5 \*/maxSilence            = 50 */'
mutant ignore-list io/fleet TestLeaving io/entry/upstream.go 's/u\.entry\.fleet\.Load\(\)\.state\(c\.Name\) == vmlist\.Live/vmlist.Live != ""/'
mutant store-only io/fleet TestLeaving io/entry/upstream.go 's/\t\tu\.entry\.observeRevision\(m\.Config\)\n//'
mutant any-revision io/fleet TestConfigRaces io/entry/config.go 's/head\.Revision <= (current\.revision|e\.view\.Load\(\)\.revision)/false/g; s/if item\.Revision <= after/if false/'
mutant last-writer io/fleet TestConfigRaces io/entry/submit.go 's/old\.Revision != expected/false/'
mutant no-peers io/fleet TestStoreOutage io/entry/config.go 's/for _, vm := range e\.fleet\.Load\(\)\.vms/for _, vm := range []vmlist.VM(nil)/; s/"pimentoseam\/core\/conf"/"pimentoseam\/core\/conf"\n\t"pimentoseam\/io\/vmlist"/'
mutant storm io/fleet TestStoreCalls io/entry/config.go 's/configRetryInterval = time\.Second/configRetryInterval = time.Millisecond/'
mutant free-retries io/fleet TestHalfFailing io/entry/request.go 's/return result\.safeToRetry \|\| q\.entry\.budget\.Spend\(\)/return true/; s/maxAttempts           = 3/maxAttempts = 30/; s/if q\.tried\[u\] \|\| !u\.isUsable\(\)/if !u.isUsable()/'
mutant no-breaker io/fleet TestHalfFailing core/health/breaker.go 's/failureThreshold = 3 /failureThreshold = 1 << 30 /'
mutant no-cancel io/fleet TestOfficialClient io/entry/transfer.go 's/\t\t\tt\.cancel\(\)\n\t\t\treturn outcome\{callerGone: true\}/\t\t\treturn outcome{callerGone: true}/'
mutant whole-list io/vmlist TestList io/vmlist/client.go 's/\tc\.etag = resp/\t_ = resp/'
mutant keepalive io/server TestLongStream io/server/stream.go 's/\t_ = st\.conn\.SetReadDeadline\(time\.Time\{\}\)\n//'
mutant no-pressure io/server TestSlowReader io/server/stream.go 's/st\.state\.pendingBytes > maxStreamPending/false/'
mutant late-copy io/gate TestLateCopy io/gate/exchange.go 's/ && !reused\n/\n/'
mutant any-continuation io/gate TestBrokenStream io/gate/relay.go 's/if x\.headSent \{\n\t\treturn x\.rejectContinuation/if false {\n\t\treturn x.rejectContinuation/'
mutant any-resumption io/gate TestResumedStreamFails io/gate/relay.go 's/if x\.headSent \{\n\t\treturn x\.rejectContinuation/if false {\n\t\treturn x.rejectContinuation/'
mutant join-answers io/gate TestBrokenAnswer io/gate/exchange.go 's/if x\.headSent && x\.route\.Kind != route\.Stream/if false/' io/gate/relay.go 's/if x\.headSent \{\n\t\treturn x\.rejectContinuation/if false {\n\t\treturn x.rejectContinuation/'
mutant bare-lf core/head TestScan core/head/scanner.go 's/end == s\.line \|\| data\[end-1\] != .\\r./end == s.line/'
mutant decoded-path io/gate TestRawPath io/gate/serve.go 's/path := head\.Path\(r\.RequestURI\)/path := r.URL.Path\n\t_ = head.Path/'
mutant forget-leaving io/gate TestServerLeaving io/gate/reply.go 's/if reply\.Leaving && /if false \&\& reply.Leaving \&\& /'
mutant no-pause io/gate TestRetryAfterPause io/gate/reply.go 's/if reply\.Pause > 0/if false \&\& reply.Pause > 0/'
mutant no-era platform TestConditionOverEras platform/store.go 's/case resp\.era != known && dependsOnEra/case false \&\& dependsOnEra/'
mutant copy-undoes core/member TestCopy core/member/set.go 's/d\.isUndoneBy\(u, revision\)/false/'
mutant restored-plan io/gate TestRestoredPlan core/plan/plan.go 's/p\.Era == era \|\| roles/true || roles/'
mutant trust-framing io/gate TestStreamEndsInsideEvent io/gate/ending.go 's/events\.End\(\); err != nil/events.End(); err != nil \&\& resp.Framing() == client.Connection/'
mutant empty-stream io/gate TestStreamWithoutEvents io/gate/ending.go 's/events\.Count\(\) == 0 && !isRest/false \&\& !isRest/'
mutant first-length io/gate TestStreamOutlivesItsLength io/gate/relay.go 's/h\.Del\("Content-Length"\)/_ = h/'
mutant endless-head io/client TestHeadLimit io/client/conn.go 's/if r\.headLeft <= 0/if false/'
mutant endless-event core/stream TestEventWithoutEnd core/stream/splitter.go 's/size > MaxEventBytes/false/'
mutant await-rest io/gate TestRefusalBodyStalls io/client/conn.go 's/if r\.Framing\(\) == Connection \{\n\t\treturn nil/if false {\n\t\treturn nil/; s/time\.AfterFunc\(timeout/time.AfterFunc(time.Hour/'
mutant no-done io/entry TestShortAnswer io/entry/sink.go 's/if !s\.hasDone \{/if false {/'
mutant no-blame io/gate TestPartThatCrashesEngines core/blame/ledger.go 's/left > 0 && isSubset/left > time.Hour \&\& isSubset/'
mutant blame-alone io/gate TestBlockReachesAllGates io/gate/crash.go 's/g\.blame\.Merge\(a\.Blame\)/g.blame.Merge(nil)/'
mutant forget-blocks io/gate TestPartStaysOutOverRestart io/gate/election.go 's/\t\tl\.writeBlocks\(ctx\)\n//'
mutant blame-all core/blame TestRandomCrashes core/blame/ledger.go 's/maxChance = 1e-5/maxChance = 1/'
mutant blame-moment core/blame TestCommonCause core/blame/ledger.go 's/minSpacing = 250 \*/minSpacing = 0 */; s/maxChance = 1e-5/maxChance = 1/'
mutant blame-engine io/fleet TestCrashingPrompt io/entry/crash.go 's/Blocked\(q\.parts\); ok \{/Blocked(q.parts); ok \&\& left < 0 {/'
mutant deaf-to-limits io/gate TestLimitOverAllGates io/gate/permit.go 's/case call\.Named:/case "none":/'
mutant own-limits core/quota TestLimitIsKeptAndUsed core/quota/limit.go 's/if l\.Term != o\.Term \{\n\t\treturn l\.Term > o\.Term\n\t\}/if l != o {\n\t\treturn false\n\t}/'
mutant whole-reach core/quota TestEntriesOutOfReach core/quota/book.go 's/b\.reach = float64\(max\(1, heard\)\)/b.reach = float64(max(1, heard, known))/'
mutant late-limit core/quota TestLateAnswersChangeNothing core/quota/book.go 's/!sentAt\.After\(r\.changedAt\)/false/g'
mutant no-order core/permit TestUrgentAsksGoFirst core/permit/queue.go 's/q\.waiting\[position-1\]\.ask\.Priority > a\.Priority/false/'
mutant no-probe io/gate TestLimitEnds core/quota/book.go 's/callerShare\*float64/0*float64/; s/minRate = 0\.25/minRate = 1e-9/'
mutant busy-reports io/tend TestReportsWithinLimit io/tend/tend.go 's/if t\.limit\.State == call\.Named/if false \&\& t.limit.State == call.Named/'
mutant own-connections io/gate TestConnectionsOverAllGates io/gate/exchange.go 's/float64\(accepted\)\)\/g\.gossip\.NumEntries\(\)/float64(accepted))\/2/'
mutant soon-again io/gate TestReturnAfterOutage io/gate/exchange.go 's/if isDown \{\n\t\treturn x/if isDown \&\& wait < 0 {\n\t\treturn x/'
mutant hold-refuted core/blame TestHoldOutlastsCrashesOfOthers core/blame/hold.go 's/case l\.isDueToOthers\(c, h\):/case false:/'
mutant late-free core/blame TestLateCrashes core/blame/report.go 's/After: max\(1, time\.Duration\(s\.After\)\*time\.Millisecond\)\}\)/})\n\t\tknown.Suspects = nil/'
mutant any-outlives core/blame TestLateCrashes core/blame/ledger.go 's/outlivedFactor = 2/outlivedFactor = 0/'
mutant few-trials core/blame TestTrialsThatDidNotRun core/blame/trial.go 's/maxTrials = 32/maxTrials = 8/; s/ && !l\.dropVoidTrial\(\)//'
mutant many-trials core/blame TestFewTrials core/blame/trial.go 's/decisiveTrials = 1/decisiveTrials = 100/; s/maxLateTrials = 2/maxLateTrials = 100/'
mutant old-explained core/blame TestHoldOutlastsBlockOfOthers core/blame/hold.go 's/s\.explained\[i\] = l\.explaining\(c\)/_, _ = i, c/'
mutant lift-stays core/blame TestLiftedHoldReturns core/blame/hold.go 's/\tl\.dropRefutedLifts\(\)\n//'
mutant displaced-late core/blame TestLateAtBusyEngines core/blame/ledger.go 's/maxLateSuspects = 8/maxLateSuspects = 0/'
mutant displaced-news core/blame TestKnownCrashIsNoNews core/blame/keep.go 's/return known\.indexOf\(s\) >= 0/return true/'
mutant soon-hides-late core/blame TestLateBesideNewParts core/blame/convict.go 's/if wasAnswered && slices\.ContainsFunc\(soon/if slices.ContainsFunc(soon/'
mutant explained-free core/blame TestOftenBesideBlocked core/blame/hold.go 's/e\.present >= minOther/e.runs >= minOther/'
mutant stated-end io/gate TestKilledWhileLeaving core/alive/tracker.go 's/\thasFailed := false\n/\tif t.run.IsLeaving() {\n\t\treturn Alive\n\t}\n\thasFailed := false\n/'
mutant cut-passes io/fleet TestUnframedAnswers io/agent/crash.go 's/return endsWithConnection && a\.isDown\(\)/return endsWithConnection \&\& false/'
mutant encoded io/gate TestEncodedAnswers platform/header.go 's/isEncoded\(h\),/isEncoded(nil),/'
mutant possible-free core/blame TestPossibleCrash core/blame/hold.go 's/s = l\.scene\(false\)/s = l.scene(true)/'
mutant possible-blocks core/blame TestPossibleCrash core/blame/scene.go 's/return onlySure && c\.isUnsure/return onlySure \&\& false/'
mutant late-trials core/blame TestLateTrials core/blame/trial.go 's/maxLateTrials = 2/maxLateTrials = 100/'
mutant often-lifted core/blame TestArrivalsHoweverCrashesShow core/blame/hold.go 's/ && !h\.isOften \{/ {/'
mutant no-entry-holds io/fleet TestCrashingPrompt io/entry/crash.go 's/if q\.isMessageTrial \|\| /if true || q.isMessageTrial || /'
mutant lax-answers io/engine TestHeadsThatAreNone io/answer/conn.go 's/malformed := c\.answers\.Scan\(p\[:n\]\)/malformed := n, error(nil)/'
mutant end-proves io/answer TestResetUnderUpload io/answer/conn.go 's/err == io\.EOF && c\.answers\.EndsWithConnection\(\)/false/'
mutant no-suspects io/gate TestRequestThatCrashesUpstreams core/crash/book.go 's/suspectCrashes = 2/suspectCrashes = 1 << 20/'
mutant exact-only io/gate TestRequestThatCrashesUpstreams io/gate/exchange.go 's/r\.Exact\(\), r\.Similar\(\)/r.Exact(), r.Exact()/'
mutant free-repeats io/gate TestOwnRepeatsCount io/gate/trial.go 's/\t\treturn state == crash\.Free\n/\t\treturn state != ""\n/'
mutant forget-holds io/gate TestRequestStaysOutOverRestart io/gate/election.go 's/\t\tl\.writeHolds\(ctx\)\n//'
mutant all-try core/crash TestOneTrial core/crash/book.go 's/state == Trying && isFirst/state == Trying || isFirst/'
mutant sure-loop core/crash TestCrashLoop core/crash/book.go 's/if b\.isSure\(\*tried, service\)/if service > 0/'
mutant no-answers core/crash TestAnswerClears core/crash/book.go 's/if a := b\.answers\[d\]; a == nil \|\| e\.at\.After\(a\.at\) \{/if true {/'
mutant full-reports core/crash TestBounded core/crash/report.go 's/maxReportedHolds    = 64/maxReportedHolds    = 4096/'
mutant same-order io/tend TestOrderThatCrashesEngine io/tend/tend.go 's/if o\.crashes == 0/if o.crashes >= 0/'
mutant no-guard io/gossip TestDatagramThatPanics io/proc/guard.go 's/:= recover\(\)/:= any(nil)/'
mutant engines-only io/fleet TestRequestThatCrashesServices io/agent/crash.go 's/if !a\.isDown\(\)/if a.settings.Kind != "model" || !a.isDown()/'
mutant open-reserve core/budget TestRestarts core/budget/budget.go 's/isClosed := !b\.isFirst && time/isClosed := false \&\& time/'
mutant full-at-start core/budget TestRestarts core/budget/budget.go 's/\topt\(b\)\n\t\}\n/\topt(b)\n\t}\n\tb.earned = b.maxEarned()\n/'
mutant free-after-prompt io/gate TestUnreadPrompts core/repeat/account.go 's/phase == Read && accepted:/phase == Read:/'
mutant kept-connection io/gate TestOldRefusal io/client/pool.go 's/!r\.IsRepeat\)/true)/'
mutant any-refusal io/engine TestOldRefusal io/engine/client.go 's/return reused && resp/return false && resp/'
mutant odd-list io/vmlist TestOddEntries io/vmlist/client.go 's/c\.onOdd\(i, err\)\n\t\t\tcontinue/c.onOdd(i, err)\n\t\t\treturn nil, false, err/'
mutant any-text io/gate TestBrokenStream core/stream/splitter.go 's/s\.inEvent && !isControl/false \&\& !isControl/'
mutant late-passes io/gate TestLateInGrace core/grace/period.go 's/!deadline\.After\(p\.answerBy\)/true/'
mutant late-passes-entry io/fleet TestLateInGrace core/grace/period.go 's/!deadline\.After\(p\.answerBy\)/true/'
mutant no-answer-at-end io/fleet TestLateInGrace io/entry/stop.go 's/close\(e\.ending\)/_ = e.ending/'
mutant forgets-when-alone io/gossip TestAloneEntryCountsPeers core/census/census.go 's/case isAlone:/case false:/'
mutant last-digest io/gossip TestZoneOfRestartedEntryCounts io/gossip/peer.go 's/entries >= z\.size \|\| time\.Since\(z\.sizedAt\) > peerExpiry/true/'
mutant any-role io/tend TestOddPlans core/member/set.go 's/r == Prefill \|\| r == Decode/true/'
exit $bad
