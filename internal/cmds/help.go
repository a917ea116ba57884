package cmds

// Help texts of the program and its commands. Each paragraph is one line, because go-flags wraps lines at the width of the
// terminal. Lines of examples and tables are shorter than 70 columns, so that they are not wrapped.
const (
	programHelp = `A query tier: the processes between callers and the targets that hold the shards of an index. ` +
		`Answers are complete or honestly reported as partial, targets receive no more work than they can bear, and ` +
		`no request is cut off, lost or run twice.

A first look, without any set-up: run "make demo" in the source tree.

Typical use:
  fuchsiarelay example-config > node.ini
  fuchsiarelay check --config node.ini --rules rules.txt
  fuchsiarelay serve --config node.ini
  fuchsiarelay status --addr 10.0.0.7:8082
  fuchsiarelay query --addr 10.0.0.7:8080 --service billing \
      --class clerk --tenant dredger "ticket 4471"

Exit codes:
  0  done; the answer is complete, or the order was executed
  1  the command failed, or check found faults
  2  the command line is wrong
  3  partial answer
  4  not run: the request was refused, or nothing was sent
  5  the request ran and failed
  6  unknown: the request may or may not have run

Documentation: docs/callers.md, docs/OPERATIONS.md, docs/result-codes.md.`

	serveHelp = `Runs one entry process until it is stopped. Logs are JSON lines on standard error. All faults of the ` +
		`settings are listed at once, and the process does not start with any.

SIGTERM or SIGINT begins a planned stop: the process leaves the address answers, serves every caller that may still ` +
		`hold its address, and exits with 0 when no request and no order token is left. That takes at least ` +
		`address_ttl + 1s, and at most stop_limit. A second signal ends the process at once with 1 and cuts off what is running. SIGHUP is ignored.

The administration API of admin_addr is read-only and not encrypted: bind it to an address that only operators reach.`

	checkHelp = `Reads the files as serve and a running process do and lists every fault, one a line, on standard error:

  rules.txt:3:9: expected data_centre, vm, target, service ...

Exits with 0 if there is none and with 1 otherwise, which suits a continuous integration job in front of publishing. ` +
		`At least one of the options is needed. Files named in [tls] are not opened; serve does that.`

	explainHelp = `Lists the rules that touch what the options name, in line order: the line, the rule, its effect, who ` +
		`asked for it, and why. An answer's rule_line is one of these lines. Options that are left out are not asked about.

  fuchsiarelay explain --rules rules.txt --tenant head-office \
      --service counter-desk-01 --target counter-desk-01-t1

With --query the fingerprint of the query is looked up; it also needs --service and --tenant.`

	queryHelp = `Asks one of the addresses for the list of addresses, sends the query, and prints the answer with its ` +
		`coverage and index version. A query is idempotent: it is sent again at most twice, to another address if no answer ` +
		`arrives, and after a refusal that may pass no earlier than the refusal allows.

Exit codes: 0 complete, 3 partial, 4 not run, 5 ran and failed, 6 unknown (it was sent, and no answer arrived). 2 means ` +
		`that the command line is wrong.`

	orderHelp = `Fetches a token, then sends the order to the process that issued it. The order runs at most once: if the ` +
		`answer is lost, the outcome is asked for with the same token.

Exit codes: 0 executed, 4 not run, 5 ran and failed, 6 unknown. After 6 the order may have run: look it up in your own ` +
		`records before placing it again, because a second order runs a second time.`

	statusHelp = `Reads the administration API of a running entry process: what it serves, how fresh its configuration ` +
		`is, which entry VMs it reaches, and which targets are blocked or draining. With --wait it waits until ` +
		`the process serves and may send to the targets of which it is the primary dispatcher. Exits with 1 if the process can't be reached or takes no new work, or if it did not get ready within --wait.`

	traceHelp = `Reads the logs of entry processes, plain or compressed with gzip, and counts the requests that were not ` +
		`answered completely: by window of time, route, outcome, reason, and how the last send before the end went. The ` +
		`column suppressed counts the lines that the rate limit of the log has dropped. A file named - is standard input.

Example:
  fuchsiarelay trace --failed --window 10s /var/log/fuchsiarelay/*.gz`

	exampleHelp = `Prints a settings file for serve: every key with its meaning and default. Keys with a default are commented out.`

	completionHelp = `Prints a completion script for bash. Use it in the current shell with:

  source <(fuchsiarelay completion)`
)
