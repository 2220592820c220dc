import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import type { BasePart } from "./base_part.ts";

/**
 * Returns a diagnostic for every duplicate, every reference to an unknown name,
 * every `coldSlots` above `slots` and every route to a service without a backend
 * server. The result depends only on the configuration, so that every node
 * refuses the same versions for the same reasons.
 */
export function validateConfiguration(
  base: BasePart,
  servers: readonly BackendServerEntry[],
): readonly Diagnostic[] {
  const zones = new Set(base.zones.map(({ name }) => name));
  const services = new Set(base.services);
  const serverNames = new Set(servers.map(({ name }) => name));
  const servicesWithServers = new Set(servers.map(({ service }) => service));
  const { routes, zonesTakenOut, backendServersLeaving } = base.rules;
  const getServerPath = (server: BackendServerEntry, field: string) =>
    `register.backendServers["${server.name}"].${field}`;

  return [
    ...findDuplicates(base.zones, {
      getKey: ({ name }) => name,
      getPath: (_, index) => `register.zones[${index}].name`,
      allowed: "a unique name",
    }),
    ...findDuplicates(base.services, {
      getKey: (name) => name,
      getPath: (_, index) => `register.services[${index}].name`,
      allowed: "a unique name",
    }),
    ...(["name", "vm", "address", "nodeAddress"] as const).flatMap((field) =>
      findDuplicates(servers, {
        getKey: (server) => server[field],
        getPath: (server) => getServerPath(server, field),
        allowed: field === "name" ? "a unique name" : `a unique "${field}"`,
      })
    ),
    ...findDuplicates(routes, {
      getKey: ({ host, pathPrefix }) => `${host ?? "*"} ${pathPrefix}`,
      getPath: (_, index) => `rules.routes[${index}]`,
      allowed: "a unique host and path prefix",
    }),
    ...servers
      .filter(({ service }) => !services.has(service))
      .map((server) =>
        createUnknownNameDiagnostic(getServerPath(server, "service"), {
          found: server.service,
          allowed: "register.services",
        })
      ),
    ...servers
      .filter(({ zone }) => !zones.has(zone))
      .map((server) =>
        createUnknownNameDiagnostic(getServerPath(server, "zone"), {
          found: server.zone,
          allowed: "register.zones",
        })
      ),
    ...servers
      .filter(({ slots, coldSlots }) => coldSlots > slots)
      .map((server) =>
        createDiagnostic(DiagnosticCode.ConfigurationFieldInvalid, {
          path: getServerPath(server, "coldSlots"),
          found: String(server.coldSlots),
          allowed: `at most its "slots", ${server.slots}`,
        })
      ),
    ...routes.flatMap(({ service }, index) =>
      validateRouteService(service, {
        path: `rules.routes[${index}].service`,
        known: services.has(service),
        hasServers: servicesWithServers.has(service),
      })
    ),
    ...zonesTakenOut.flatMap((zone, index) =>
      zones.has(zone) ? [] : [
        createUnknownNameDiagnostic(`rules.zonesTakenOut[${index}]`, {
          found: zone,
          allowed: "register.zones",
        }),
      ]
    ),
    ...backendServersLeaving.flatMap((name, index) =>
      serverNames.has(name) ? [] : [
        createUnknownNameDiagnostic(`rules.backendServersLeaving[${index}]`, {
          found: name,
          allowed: "register.backendServers",
        }),
      ]
    ),
  ];
}

function validateRouteService(
  service: string,
  options: {
    readonly path: string;
    readonly known: boolean;
    readonly hasServers: boolean;
  },
): readonly Diagnostic[] {
  if (!options.known) {
    return [
      createUnknownNameDiagnostic(options.path, {
        found: service,
        allowed: "register.services",
      }),
    ];
  }
  return options.hasServers ? [] : [
    createDiagnostic(DiagnosticCode.ConfigurationServiceEmpty, {
      path: options.path,
      found: service,
    }),
  ];
}

function createUnknownNameDiagnostic(
  path: string,
  details: { readonly found: string; readonly allowed: string },
): Diagnostic {
  return createDiagnostic(DiagnosticCode.ConfigurationNameUnknown, {
    path,
    ...details,
  });
}

function findDuplicates<Entry>(
  entries: readonly Entry[],
  options: {
    readonly getKey: (entry: Entry) => string;
    readonly getPath: (entry: Entry, index: number) => string;
    readonly allowed: string;
  },
): readonly Diagnostic[] {
  const seen = new Set<string>();
  return entries.flatMap((entry, index) => {
    const key = options.getKey(entry);
    if (!seen.has(key)) {
      seen.add(key);
      return [];
    }
    return [
      createDiagnostic(DiagnosticCode.ConfigurationNameRepeated, {
        path: options.getPath(entry, index),
        found: key,
        allowed: options.allowed,
      }),
    ];
  });
}
