import type { CallRoute } from "../routing/call_route.ts";
import { createRouteTable } from "../routing/create_route_table.ts";
import type { Rules } from "../routing/rules.ts";
import type { RulesFinding } from "./rules_finding.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

/** Finds routes that never match, have an unknown service, or contradict themselves. */
export function findRouteFindings(rules: Rules): readonly RulesFinding[] {
  const table = createRouteTable(rules.routes);
  return rules.routes.flatMap((route) => {
    const path = `routes.${route.name}`;
    const matching = table.get(route.host.toLowerCase())?.get(route.pathPrefix);
    const hidden = matching === undefined || matching === route ? [] : [{
      kind: RulesFindingKind.RouteHidden,
      path,
      detail:
        `Route "${matching.name}" has the same host "${route.host}" and prefix "${route.pathPrefix}"`,
    }];
    return [
      ...hidden,
      ...findTargetFindings(rules, route),
      ...findTimeFindings(route),
    ];
  });
}

function findTargetFindings(
  rules: Rules,
  { name, targets }: CallRoute,
): readonly RulesFinding[] {
  const path = `routes.${name}`;
  const unknown = targets
    .filter(({ service }) => !rules.services.has(service))
    .map(({ service }) => ({
      kind: RulesFindingKind.ServiceUnknown,
      path,
      detail: `Service "${service}" is not defined`,
    }));
  if (targets.every(({ weight }) => weight === 0)) {
    const kind = RulesFindingKind.RouteWithoutWeight;
    const detail = `No target has a weight, so service "${
      targets[0]?.service
    }" gets all calls`;
    return [...unknown, { kind, path, detail }];
  }
  const weightless = targets
    .filter(({ weight }) => weight === 0)
    .map(({ service }) => ({
      kind: RulesFindingKind.TargetWithoutWeight,
      path,
      detail: `Target "${service}" has weight 0 and gets no calls`,
    }));
  return [...unknown, ...weightless];
}

function findTimeFindings(route: CallRoute): readonly RulesFinding[] {
  const { name, attemptsMaximum, goalMilliseconds, timeoutMilliseconds } =
    route;
  const path = `routes.${name}`;
  if (timeoutMilliseconds < goalMilliseconds) {
    return [{
      kind: RulesFindingKind.TimeoutBelowGoal,
      path,
      detail:
        `The timeout of ${timeoutMilliseconds} ms is below the goal of ${goalMilliseconds} ms`,
    }];
  }
  if (attemptsMaximum * goalMilliseconds <= timeoutMilliseconds) return [];
  return [{
    kind: RulesFindingKind.AttemptsBeyondTimeout,
    path,
    detail:
      `${attemptsMaximum} attempts of ${goalMilliseconds} ms each do not fit into the timeout of ${timeoutMilliseconds} ms`,
  }];
}
