/* The catalogue of log events, included with MT_EVENT defined: id, name, level, text.
 * 1xxx process, 2xxx request path, 3xxx at most once and platform, 4xxx tables,
 * 5xxx membership, 6xxx control (assignment, waves, capacity), 7xxx jobs. */

MT_EVENT (1001, STARTED, G_LOG_LEVEL_MESSAGE, "daemon is listening")
MT_EVENT (1002, STOPPING, G_LOG_LEVEL_MESSAGE, "graceful stop began")
MT_EVENT (1003, STOPPED, G_LOG_LEVEL_MESSAGE, "daemon stopped, nothing in flight")
MT_EVENT (1004, START_FAILED, G_LOG_LEVEL_CRITICAL, "daemon could not start")

MT_EVENT (2001, REQUEST_UNKNOWN, G_LOG_LEVEL_WARNING, "a request ended with an unknown outcome")

MT_EVENT (3001, PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING, "the platform's service does not answer")
MT_EVENT (3002, PLATFORM_BACK, G_LOG_LEVEL_MESSAGE, "the platform's service answers again")
MT_EVENT (3003, CLAIMS_UNREADABLE, G_LOG_LEVEL_CRITICAL, "a shard of the claims can't be read")

MT_EVENT (4001, TABLES_IN_FORCE, G_LOG_LEVEL_MESSAGE, "a version of the tables is in force")
MT_EVENT (4002, TABLES_REFUSED, G_LOG_LEVEL_WARNING, "a version of the tables was not taken")
MT_EVENT (4003,
          TABLES_FORKED,
          G_LOG_LEVEL_WARNING,
          "the version in force was offered with another id")
MT_EVENT (4004,
          TABLES_REPAIRED,
          G_LOG_LEVEL_WARNING,
          "older tables in the platform's store were replaced")

MT_EVENT (5001, MEMBER_JOINED, G_LOG_LEVEL_MESSAGE, "a daemon is there")
MT_EVENT (5002, MEMBER_SUSPECTED, G_LOG_LEVEL_WARNING, "a daemon is silent")
MT_EVENT (5003, MEMBER_BACK, G_LOG_LEVEL_MESSAGE, "a silent daemon is heard again")
MT_EVENT (5004,
          MEMBER_REMOVED,
          G_LOG_LEVEL_WARNING,
          "a daemon was silent for too long and is forgotten")
MT_EVENT (5005, MEMBER_LEAVES, G_LOG_LEVEL_MESSAGE, "a daemon stops gracefully")
MT_EVENT (5006, MEMBER_NAME_TWICE, G_LOG_LEVEL_CRITICAL, "two daemons run under one name")
MT_EVENT (5007,
          DOCUMENT_FROM_PEER,
          G_LOG_LEVEL_MESSAGE,
          "a newer document was fetched from another daemon")
MT_EVENT (5008, DOCUMENT_REFUSED, G_LOG_LEVEL_WARNING, "a document of another daemon was not taken")

MT_EVENT (6001, PLANNER_TOOK_OVER, G_LOG_LEVEL_MESSAGE, "this daemon plans for its data centre")
MT_EVENT (6002, PLANNER_LOST, G_LOG_LEVEL_MESSAGE, "this daemon plans no longer")
MT_EVENT (6003, ASSIGN_REFUSED, G_LOG_LEVEL_WARNING, "an assignment document was not taken")
MT_EVENT (6004, PLANNER_REPORT, G_LOG_LEVEL_WARNING, "a move, drain or wave is held up")
MT_EVENT (6005, REBOOT_ORDERED, G_LOG_LEVEL_MESSAGE, "a drained instance is rebooted")
MT_EVENT (6006, MINION_LEAVES, G_LOG_LEVEL_MESSAGE, "a minion said that it leaves")

MT_EVENT (7001, JOBS_LOADED, G_LOG_LEVEL_MESSAGE, "this daemon places the data centre's jobs")
MT_EVENT (7002, JOBS_DROPPED, G_LOG_LEVEL_MESSAGE, "this daemon no longer places jobs")
MT_EVENT (7003,
          JOBS_ACTIONS_LOST,
          G_LOG_LEVEL_WARNING,
          "actions on jobs may not have reached their workers")
