// Case 11: a backend server crashes for good, and its address goes to a backend
// server of another service.
import { createClientAgent, createConfig, delay, runCase, sendAttempt, startDeployment, trouble } from "../stand-ins-3/harness.mjs";

const reuseAfterMs = 2_000;
const route = (fields) => ({ timeout: "1200ms", goal: "300ms", priority: 2, attempts: 2, kind: "idempotent", ...fields });

await runCase(async () => {
  const deployment = await startDeployment({
    caseFolder: process.env["CASE_FOLDER"],
    config: createConfig({
      services: ["catalogue", "statements"],
      routes: {
        "r-catalogue": route({ host: "catalogue.example", prefix: "/c/", service: "catalogue" }),
        "r-statements": route({ host: "statements.example", prefix: "/s/", service: "statements" }),
      },
    }),
  });
  const { record } = deployment;
  const machines = [
    await deployment.startMachine(1, { zone: "sul-a", service: "catalogue" }),
    await deployment.startMachine(2, { zone: "sul-b", service: "catalogue" }),
    await deployment.startMachine(3, { zone: "sul-c", service: "catalogue" }),
    await deployment.startMachine(4, { zone: "sul-a", service: "statements" }),
    await deployment.startMachine(5, { zone: "sul-b", service: "statements" }),
    await deployment.startMachine(6, { zone: "sul-c", service: "statements" }),
  ];
  await deployment.awaitReady();
  const mayUse = deployment.watchReadiness();
  const serviceOf = new Map();
  const agent = createClientAgent();
  let stopped = false;
  const pending = new Set();
  function load(machine, perSecond) {
    const timer = setInterval(() => {
      if (stopped || !mayUse(machine)) return;
      const isCatalogue = Math.random() < 0.6;
      const attempt = `${machine.index}-${Math.random().toString(16).slice(2)}`;
      serviceOf.set(attempt, isCatalogue ? "catalogue" : "statements");
      const sending = sendAttempt({
        host: machine.host, hostName: isCatalogue ? "catalogue.example" : "statements.example",
        path: isCatalogue ? "/c/1" : "/s/1", deadlineMs: 1_500, agent, record, attempt,
      });
      pending.add(sending);
      void sending.then(() => pending.delete(sending));
    }, 1_000 / perSecond);
    return () => clearInterval(timer);
  }
  const ends = machines.map((machine) => load(machine, 40));
  await delay(6_000);
  const [victim] = machines;
  if (trouble) {
    record("crash", { identifier: victim.backend.identifier });
    victim.backend.crash();
    await delay(reuseAfterMs + 50);
    const heir = deployment.startBackend({
      host: victim.host, identifier: "i-heir", service: "statements", zone: victim.zone, coldMs: 3_000,
    });
    await heir.listening;
    victim.node.signal("SIGTERM");
  }
  await delay(12_000);
  stopped = true;
  ends.forEach((end) => end());
  await Promise.all(pending);
  agent.destroy();
  const foreign = deployment.backendEvents.filter(({ kind, attempt, service }) =>
    kind === "ran" && serviceOf.has(attempt) && serviceOf.get(attempt) !== service);
  foreign.forEach((event) => record("VIOLATION", { rule: "ROUTE", wanted: serviceOf.get(event.attempt), ...event }));
  await deployment.end();
  const ran = deployment.backendEvents.filter(({ kind }) => kind === "ran").length;
  return {
    broken: foreign.length > 0,
    summary: `sent ${serviceOf.size}, ran ${ran}, run by a service to which no configuration allows them to go: ${foreign.length}`,
  };
});
