import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { Route } from "./route.ts";
import type { Snapshot } from "./snapshot.ts";
import { ZoneState } from "./zone_state.ts";

/**
 * Returns a diagnostic for every change in `next` that removes something from
 * the version in force or reverts it.
 *
 * If two operators edit the same version and publish one after the other, the
 * second document lacks the changes of the first and so reverts them. Nodes
 * cannot distinguish this from an intended change, because each document is
 * complete and has a higher number; they detect only a number that decreases
 * and two different contents under one number. The operator therefore confirms
 * each removal or reversal by name.
 */
export function compareConfigurations(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [
    ...compareVersionNumbers(inForce, next),
    ...compareZones(inForce, next),
    ...compareBackendServers(inForce, next),
    ...compareServices(inForce, next),
    ...compareRoutes(inForce, next),
  ];
}

function compareVersionNumbers(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return next.version.number > inForce.version.number ? [] : [
    createDiagnostic(DiagnosticCode.ConfigurationNumberNotHigher, {
      path: "number",
      found: String(next.version.number),
      allowed: String(inForce.version.number),
    }),
  ];
}

/** Reports zones that would be returned to service, or removed without having been taken out. */
function compareZones(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [...inForce.zones.values()].flatMap(({ name, state }) => {
    const nextState = next.zones.get(name)?.state;
    const isTakenOut = state === ZoneState.TakenOut;
    if (nextState === undefined && !isTakenOut) {
      return [
        createDiagnostic(DiagnosticCode.ConfigurationZoneRemoved, {
          path: name,
        }),
      ];
    }
    return isTakenOut && nextState === ZoneState.InService
      ? [createDiagnostic(DiagnosticCode.ConfigurationZoneReturned, {
        path: name,
      })]
      : [];
  });
}

/** Reports backend servers whose leaving mark would be withdrawn, or that would be removed without one. */
function compareBackendServers(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [...inForce.backendServers.values()].flatMap(({ name, leaving }) => {
    const nextServer = next.backendServers.get(name);
    if (nextServer === undefined && !leaving) {
      return [
        createDiagnostic(DiagnosticCode.ConfigurationBackendServerRemoved, {
          path: name,
        }),
      ];
    }
    return leaving && nextServer?.leaving === false
      ? [createDiagnostic(DiagnosticCode.ConfigurationBackendServerReturned, {
        path: name,
      })]
      : [];
  });
}

function compareServices(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  return [...inForce.services.keys()]
    .filter((name) => !next.services.has(name))
    .map((name) => {
      const count = inForce.routes.filter(({ service }) =>
        service === name
      ).length;
      return createDiagnostic(DiagnosticCode.ConfigurationServiceRemoved, {
        path: name,
        found: count === 1 ? "1 route" : `${count} routes`,
      });
    });
}

function compareRoutes(
  inForce: Snapshot,
  next: Snapshot,
): readonly Diagnostic[] {
  const nextRouteNames = new Set(next.routes.map(getRouteName));
  return inForce.routes
    .filter((route) => !nextRouteNames.has(getRouteName(route)))
    .map((route) =>
      createDiagnostic(DiagnosticCode.ConfigurationRouteRemoved, {
        path: getRouteName(route),
        found: route.service,
      })
    );
}

/** Returns the name that identifies a route in diagnostics and in `--expect`. */
function getRouteName({ host, pathPrefix }: Route): string {
  return `${host ?? "*"}${pathPrefix}`;
}
