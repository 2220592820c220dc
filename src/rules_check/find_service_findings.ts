import type { Rules } from "../routing/rules.ts";
import type { RegisteredSlots } from "./registered_slots.ts";
import type { RulesFinding } from "./rules_finding.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

/** Finds services without routes and, with a register, without backend servers. */
export function findServiceFindings(
  rules: Rules,
  slots: RegisteredSlots | undefined,
): readonly RulesFinding[] {
  const used = new Set(
    rules.routes.flatMap(({ targets }) =>
      targets.map(({ service }) => service)
    ),
  );
  const names = Array.from(rules.services.keys());
  const unused = names.filter((name) => !used.has(name)).map((name) => ({
    kind: RulesFindingKind.ServiceUnused,
    path: `services.${name}`,
    detail: "No route sends calls to the service",
  }));
  if (slots === undefined) return unused;
  const empty = names.filter((name) => !slots.has(name)).map((name) => ({
    kind: RulesFindingKind.ServiceWithoutServers,
    path: `services.${name}`,
    detail: "The register lists no backend server of the service",
  }));
  return [...unused, ...empty];
}
