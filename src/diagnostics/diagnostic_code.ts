/**
 * The numbers of all diagnostics. Ranges: 1000 settings, 2000 configuration,
 * 3000 distribution, 4000 calls, 5000 admission and health, 6000 platform,
 * 7000 command line.
 */
export enum DiagnosticCode {
  SettingsUnreadable = 1001,
  SettingsNotJson = 1002,
  SettingsFieldInvalid = 1003,
  SettingsFieldUnknown = 1004,

  ConfigurationNotJson = 2001,
  ConfigurationFieldInvalid = 2002,
  ConfigurationFieldUnknown = 2003,
  ConfigurationTooLarge = 2004,
  ConfigurationNameUnknown = 2005,
  ConfigurationNameRepeated = 2006,
  ConfigurationDigestMismatch = 2007,
  ConfigurationPartMissing = 2008,
  ConfigurationServiceEmpty = 2009,
  ConfigurationNumberNotHigher = 2010,
  ConfigurationZoneReturned = 2011,
  ConfigurationZoneRemoved = 2012,
  ConfigurationBackendServerRemoved = 2013,
  ConfigurationBackendServerReturned = 2014,
  ConfigurationServiceRemoved = 2015,
  ConfigurationRouteRemoved = 2016,

  ControlMessageInvalid = 3001,

  CallHeaderInvalid = 4001,

  BackendServerUnreachable = 5001,

  PlatformUnreachable = 6001,
  PlatformResponseInvalid = 6002,

  UsageInvalid = 7001,
  FileUnreadable = 7002,
  NodeUnreachable = 7003,
  ListenerUnavailable = 7004,

  NodeResponseInvalid = 7101,
}
