import { DiagnosticCategory } from "./diagnostic_category.ts";
import { DiagnosticCode } from "./diagnostic_code.ts";
import type { DiagnosticDefinition } from "./diagnostic_definition.ts";

/** The definitions of all diagnostics. */
export const diagnosticTable: Readonly<
  Record<DiagnosticCode, DiagnosticDefinition>
> = {
  [DiagnosticCode.SettingsUnreadable]: {
    category: DiagnosticCategory.Error,
    template: 'Cannot read the settings file "{path}": {found}',
  },
  [DiagnosticCode.SettingsNotJson]: {
    category: DiagnosticCategory.Error,
    template: 'The settings file "{path}" is not JSON: {found}',
  },
  [DiagnosticCode.SettingsFieldInvalid]: {
    category: DiagnosticCategory.Error,
    template: 'Settings field "{path}" is {found}, but must be {allowed}',
  },
  [DiagnosticCode.SettingsFieldUnknown]: {
    category: DiagnosticCategory.Error,
    template:
      'Settings field "{path}" is unknown; the allowed fields are {allowed}',
  },

  [DiagnosticCode.ConfigurationNotJson]: {
    category: DiagnosticCategory.Error,
    template: "The configuration is not JSON: {found}",
  },
  [DiagnosticCode.ConfigurationFieldInvalid]: {
    category: DiagnosticCategory.Error,
    template: 'Configuration field "{path}" is {found}, but must be {allowed}',
  },
  [DiagnosticCode.ConfigurationFieldUnknown]: {
    category: DiagnosticCategory.Error,
    template:
      'Configuration field "{path}" is unknown; the allowed fields are {allowed}',
  },
  [DiagnosticCode.ConfigurationTooLarge]: {
    category: DiagnosticCategory.Error,
    template: "The configuration has {found} bytes, but must have {allowed}",
  },
  [DiagnosticCode.ConfigurationNameUnknown]: {
    category: DiagnosticCategory.Error,
    template:
      'Configuration field "{path}" names "{found}", which is not in {allowed}',
  },
  [DiagnosticCode.ConfigurationNameRepeated]: {
    category: DiagnosticCategory.Error,
    template:
      'Configuration field "{path}" is "{found}", but another entry has the same value, and each must have {allowed}',
  },
  [DiagnosticCode.ConfigurationDigestMismatch]: {
    category: DiagnosticCategory.Error,
    template:
      'Configuration field "{path}" is "{found}", but the content has the digest "{allowed}"',
  },
  [DiagnosticCode.ConfigurationPartMissing]: {
    category: DiagnosticCategory.Error,
    template: 'The part "{path}" of the configuration is missing',
  },
  [DiagnosticCode.ConfigurationServiceEmpty]: {
    category: DiagnosticCategory.Error,
    template:
      'Configuration field "{path}" names the service "{found}", which has no backend server',
  },
  [DiagnosticCode.ConfigurationNumberNotHigher]: {
    category: DiagnosticCategory.Error,
    template:
      'Configuration field "{path}" is {found}, but must be above {allowed}, the number in force',
  },
  [DiagnosticCode.ConfigurationZoneReturned]: {
    category: DiagnosticCategory.Error,
    template:
      'The zone "{path}" is taken out in the version in force and would return',
  },
  [DiagnosticCode.ConfigurationZoneRemoved]: {
    category: DiagnosticCategory.Error,
    template:
      'The zone "{path}" is in service in the version in force and would be removed',
  },
  [DiagnosticCode.ConfigurationBackendServerRemoved]: {
    category: DiagnosticCategory.Error,
    template:
      'The backend server "{path}" would be removed without having been marked as leaving',
  },
  [DiagnosticCode.ConfigurationBackendServerReturned]: {
    category: DiagnosticCategory.Error,
    template:
      'The backend server "{path}" is leaving in the version in force and would return',
  },
  [DiagnosticCode.ConfigurationServiceRemoved]: {
    category: DiagnosticCategory.Error,
    template:
      'The service "{path}" would be removed; {found} in the version in force lead to it',
  },
  [DiagnosticCode.ConfigurationRouteRemoved]: {
    category: DiagnosticCategory.Error,
    template: 'The route "{path}" to the service "{found}" would be removed',
  },

  [DiagnosticCode.ControlMessageInvalid]: {
    category: DiagnosticCategory.Error,
    template:
      'Control message field "{path}" is {found}, but must be {allowed}',
  },

  [DiagnosticCode.CallHeaderInvalid]: {
    category: DiagnosticCategory.Error,
    template: 'Header "{path}" is {found}, but must be {allowed}',
  },

  [DiagnosticCode.BackendServerUnreachable]: {
    category: DiagnosticCategory.Error,
    template: 'Backend server "{path}" is unreachable: {found}',
  },

  [DiagnosticCode.PlatformUnreachable]: {
    category: DiagnosticCategory.Error,
    template: 'The platform at "{path}" is unreachable: {found}',
  },
  [DiagnosticCode.PlatformResponseInvalid]: {
    category: DiagnosticCategory.Error,
    template:
      'The platform answered "{path}" with {found}, but must answer with {allowed}',
  },

  [DiagnosticCode.UsageInvalid]: {
    category: DiagnosticCategory.Error,
    template: 'Argument "{path}" is {found}; allowed: {allowed}',
  },
  [DiagnosticCode.FileUnreadable]: {
    category: DiagnosticCategory.Error,
    template: 'Cannot read the file "{path}": {found}',
  },
  [DiagnosticCode.NodeUnreachable]: {
    category: DiagnosticCategory.Error,
    template: 'Cannot reach the node at "{path}": {found}',
  },
  [DiagnosticCode.ListenerUnavailable]: {
    category: DiagnosticCategory.Error,
    template: 'Cannot listen on "{path}": {found}',
  },

  [DiagnosticCode.NodeResponseInvalid]: {
    category: DiagnosticCategory.Error,
    template:
      'The node at "{path}" answered with {found}, but must answer with {allowed}',
  },
};
