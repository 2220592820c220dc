import { formatVersion } from "../configuration/format_version.ts";
import type { Version } from "../configuration/version.ts";
import type { NodeSettings } from "../daemon/node_settings.ts";
import { createBoundedLog } from "./create_bounded_log.ts";
import type { Log } from "./log.ts";

/** Creates a log that writes JSON lines with the VM, the zone and the version in force to standard output. */
export function createLog(
  settings: NodeSettings,
  getVersion: () => Version | undefined,
): Log {
  const { logger, tryAcquireLine } = createBoundedLog({
    level: settings.logLevel,
    base: { vm: settings.vm, zone: settings.zone },
    mixin: () => {
      const version = getVersion();
      return { version: version === undefined ? null : formatVersion(version) };
    },
  });

  function writeLimited(level: "debug" | "warn" | "error"): Log["warn"] {
    return (fields, message) => {
      if (logger.isLevelEnabled(level) && tryAcquireLine()) {
        logger[level](fields, message);
      }
    };
  }

  return {
    debug: writeLimited("debug"),
    info: (fields, message) => logger.info(fields, message),
    warn: writeLimited("warn"),
    error: writeLimited("error"),
  };
}
