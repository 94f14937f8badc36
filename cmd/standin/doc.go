// Command standin runs the stand-ins of io/stand as processes: the platform's
// key-value service and a user's target. It is for trials and is no part of
// the product.
//
// A process prints one line "listening <address>" when it is ready, and ends
// on SIGTERM or SIGINT, or after the time given by --for. A target drains
// first: it announces that, goes on for the time given by --grace, and then
// finishes its requests. Faults are set by flags, and those named --...-after
// begin that time after the start.
//
// # Usage
//
//	standin store --addr 127.0.0.1:2379 --writes 300 --reads 2000
//	standin target --addr 127.0.0.1:9001 --service bookings --slots 12 \
//		--service-time lognormal:20ms:0.8 --cold-start 2s \
//		--daemon-admin 127.0.0.1:7001 --daemon-entry 127.0.0.1:7000
//	standin target --service care --crash-after 10s --restart-after 2s
package main
