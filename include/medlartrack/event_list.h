/* The catalogue of log events, included with MT_EVENT defined: id, name, level, text.
 * 1xxx process, 2xxx request path, 3xxx at most once and platform, 4xxx tables,
 * 5xxx membership, 6xxx control (assignment, waves, capacity), 7xxx jobs. */

MT_EVENT (1001, STARTED, G_LOG_LEVEL_MESSAGE, "daemon is listening")
MT_EVENT (1002, STOPPING, G_LOG_LEVEL_MESSAGE, "graceful stop began")
MT_EVENT (1003, STOPPED, G_LOG_LEVEL_MESSAGE, "daemon stopped with no request in flight")
MT_EVENT (1004, START_FAILED, G_LOG_LEVEL_CRITICAL, "daemon could not start")

MT_EVENT (2001, REQUEST_UNKNOWN, G_LOG_LEVEL_WARNING, "a request ended with an unknown outcome")

MT_EVENT (3001, PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING, "the platform's service does not answer")
MT_EVENT (3002, PLATFORM_BACK, G_LOG_LEVEL_MESSAGE, "the platform's service answers again")
MT_EVENT (3003,
          CLAIMS_UNREADABLE,
          G_LOG_LEVEL_CRITICAL,
          "a shard of the at-most-once claims could not be read")

MT_EVENT (4001, TABLES_IN_FORCE, G_LOG_LEVEL_MESSAGE, "a new version of the tables is in force")
MT_EVENT (4002,
          TABLES_REFUSED,
          G_LOG_LEVEL_WARNING,
          "an invalid version of the tables was rejected")
MT_EVENT (4003,
          TABLES_FORKED,
          G_LOG_LEVEL_WARNING,
          "tables with the version in force but a different id were rejected")
MT_EVENT (4004,
          TABLES_REPAIRED,
          G_LOG_LEVEL_WARNING,
          "missing or outdated tables in the platform's store were replaced")

MT_EVENT (5001, MEMBER_JOINED, G_LOG_LEVEL_MESSAGE, "a daemon joined the membership")
MT_EVENT (5002,
          MEMBER_SUSPECTED,
          G_LOG_LEVEL_WARNING,
          "a daemon sent no heartbeat for a while and is suspected")
MT_EVENT (5003, MEMBER_BACK, G_LOG_LEVEL_MESSAGE, "a suspected daemon sends heartbeats again")
MT_EVENT (5004,
          MEMBER_REMOVED,
          G_LOG_LEVEL_WARNING,
          "a daemon that sent no more heartbeats was removed from the membership")
MT_EVENT (5005, MEMBER_LEAVES, G_LOG_LEVEL_MESSAGE, "a daemon is stopping gracefully")
MT_EVENT (5006, MEMBER_NAME_TWICE, G_LOG_LEVEL_CRITICAL, "two daemons use the same name")
MT_EVENT (5007,
          DOCUMENT_FROM_PEER,
          G_LOG_LEVEL_MESSAGE,
          "a newer document was fetched from another daemon")
MT_EVENT (5008,
          DOCUMENT_REFUSED,
          G_LOG_LEVEL_WARNING,
          "a document from another daemon could not be fetched or was rejected")

MT_EVENT (6001,
          PLANNER_TOOK_OVER,
          G_LOG_LEVEL_MESSAGE,
          "this daemon became the planner of its data centre")
MT_EVENT (6002,
          PLANNER_LOST,
          G_LOG_LEVEL_MESSAGE,
          "this daemon is no longer the planner of its data centre")
MT_EVENT (6003, ASSIGN_REFUSED, G_LOG_LEVEL_WARNING, "an invalid assignment document was rejected")
MT_EVENT (6004,
          PLANNER_REPORT,
          G_LOG_LEVEL_WARNING,
          "a move, drain or wave is delayed or incomplete")
MT_EVENT (6005, REBOOT_ORDERED, G_LOG_LEVEL_MESSAGE, "a reboot of a drained instance was ordered")
MT_EVENT (6006, MINION_LEAVES, G_LOG_LEVEL_MESSAGE, "a minion announced that it is leaving")

MT_EVENT (7001,
          JOBS_LOADED,
          G_LOG_LEVEL_MESSAGE,
          "this daemon loaded the data centre's jobs and schedules them")
MT_EVENT (7002,
          JOBS_DROPPED,
          G_LOG_LEVEL_MESSAGE,
          "this daemon no longer schedules the data centre's jobs")
MT_EVENT (7003,
          JOBS_ACTIONS_LOST,
          G_LOG_LEVEL_WARNING,
          "actions on jobs may not have reached their workers")

MT_EVENT (8001, FLEET_STARTED, G_LOG_LEVEL_MESSAGE, "fleet daemon is listening")
MT_EVENT (8002,
          FLEET_STOPPING,
          G_LOG_LEVEL_MESSAGE,
          "graceful stop began, leaderships are being handed over")
MT_EVENT (8003, FLEET_STOPPED, G_LOG_LEVEL_MESSAGE, "fleet daemon stopped")
MT_EVENT (8004, FLEET_SETTINGS, G_LOG_LEVEL_MESSAGE, "the settings file was read again")
MT_EVENT (8005,
          LINES_LEFT_OUT,
          G_LOG_LEVEL_WARNING,
          "log lines of an event were dropped to limit the output")
MT_EVENT (8006, STORE_LOST, G_LOG_LEVEL_WARNING, "the store stopped answering this daemon")
MT_EVENT (8007, STORE_BACK, G_LOG_LEVEL_MESSAGE, "the store answers this daemon again")
MT_EVENT (8008,
          CONFIG_IN_FORCE,
          G_LOG_LEVEL_MESSAGE,
          "a new version of the configuration is in force")
MT_EVENT (8009,
          CONFIG_REFUSED,
          G_LOG_LEVEL_WARNING,
          "an invalid version of the configuration was rejected")
MT_EVENT (8021,
          WATCH_FAILED,
          G_LOG_LEVEL_WARNING,
          "a watch or list of the store's keys was not answered and is sent again")
MT_EVENT (8022,
          CONFIG_SOURCE,
          G_LOG_LEVEL_MESSAGE,
          "this daemon takes the configuration from another daemon, or from the store")
MT_EVENT (8010, LEADERSHIP_GAINED, G_LOG_LEVEL_MESSAGE, "this daemon acquired a leadership")
MT_EVENT (8011, LEADERSHIP_LOST, G_LOG_LEVEL_MESSAGE, "this daemon no longer holds a leadership")
MT_EVENT (8012,
          POOL_LOADED,
          G_LOG_LEVEL_MESSAGE,
          "a pool's jobs were loaded and are scheduled again")
MT_EVENT (8013, RECORD_UNREADABLE, G_LOG_LEVEL_CRITICAL, "a stored record could not be read")
MT_EVENT (8016, RECORD_REJECTED, G_LOG_LEVEL_CRITICAL, "the store does not accept a job's record")
MT_EVENT (8015, POOL_LOAD, G_LOG_LEVEL_MESSAGE, "load and capacity of a pool")
MT_EVENT (8020,
          STORE_AWAY,
          G_LOG_LEVEL_WARNING,
          "submissions can't be stored: callers wait or are refused")
MT_EVENT (8014,
          SCHEDULER_FENCED,
          G_LOG_LEVEL_WARNING,
          "a worker has seen a higher fencing token than this scheduler's")

MT_EVENT (8101,
          JOB_ACCEPTED,
          G_LOG_LEVEL_MESSAGE,
          "a job was stored and acknowledged to its caller")
MT_EVENT (8102,
          JOB_REFUSED,
          G_LOG_LEVEL_WARNING,
          "a job was refused: it is not stored and never runs")
MT_EVENT (8103,
          JOB_UNSETTLED,
          G_LOG_LEVEL_WARNING,
          "a submission ended with an unknown outcome: its job may be stored")
MT_EVENT (8104, CANCEL_ACCEPTED, G_LOG_LEVEL_MESSAGE, "a cancellation was stored")
MT_EVENT (8105,
          CALL_FAILED,
          G_LOG_LEVEL_WARNING,
          "a query or cancellation got no answer from the store or the pool's leader")
MT_EVENT (8108, CALLER_REFUSED, G_LOG_LEVEL_WARNING, "a call without a valid API key was refused")
MT_EVENT (8110, ROUTE_UNKNOWN, G_LOG_LEVEL_WARNING, "a call for a path without a route was refused")
MT_EVENT (8111,
          CONFIG_UNCONFIRMED,
          G_LOG_LEVEL_WARNING,
          "a call was refused because the configuration may be outdated")
MT_EVENT (8113,
          CONFIG_CHECK_SLOW,
          G_LOG_LEVEL_MESSAGE,
          "a check of the configuration held calls up for longer than usual")
MT_EVENT (8112,
          POLICY_UNKNOWN,
          G_LOG_LEVEL_WARNING,
          "a job's route has no known policy: tasks that fail wait until it is known")
MT_EVENT (8106, JOB_BEGUN, G_LOG_LEVEL_MESSAGE, "the first task of a job started")
MT_EVENT (8107, JOB_ENDED, G_LOG_LEVEL_MESSAGE, "a job ended")
MT_EVENT (8109,
          SHARE_STATE,
          G_LOG_LEVEL_MESSAGE,
          "a workspace began or stopped waiting for its share of a pool")

MT_EVENT (8201, TASK_FAILED, G_LOG_LEVEL_WARNING, "a run of a task failed")
MT_EVENT (8202,
          TASK_STILL,
          G_LOG_LEVEL_WARNING,
          "a task made no progress and is stopped to run elsewhere")
MT_EVENT (8203,
          TASK_MOVED,
          G_LOG_LEVEL_MESSAGE,
          "a task is stopped to continue elsewhere, because its worker is being emptied or is slow")
MT_EVENT (8204,
          TASK_PACED,
          G_LOG_LEVEL_MESSAGE,
          "a fill task was slowed down in favour of serving tasks, or sped up again")
MT_EVENT (8205, START_REFUSED, G_LOG_LEVEL_WARNING, "a worker refused to start a task")
MT_EVENT (8207,
          TASK_LOST,
          G_LOG_LEVEL_WARNING,
          "a task was lost with its worker and waits to run again")
MT_EVENT (8209,
          TASK_SETTLED,
          G_LOG_LEVEL_MESSAGE,
          "a task suspected of crashing its worker has run on another one without a crash")
MT_EVENT (8210,
          TASK_GIVEN_UP,
          G_LOG_LEVEL_WARNING,
          "a task crashed the workers that started it, so its job failed")
MT_EVENT (8208,
          TASK_MISSED,
          G_LOG_LEVEL_WARNING,
          "a worker does not list a task that was sent to it; the task is stopped")
MT_EVENT (8206,
          RUN_STRAY,
          G_LOG_LEVEL_WARNING,
          "a worker lists a run that the scheduler does not expect; the run is stopped")

MT_EVENT (8301, WORKER_LISTED, G_LOG_LEVEL_MESSAGE, "a worker was added to the registry")
MT_EVENT (8302, WORKER_LEAVING, G_LOG_LEVEL_MESSAGE, "a worker is leaving and gets no new tasks")
MT_EVENT (8303, WORKER_UNLISTED, G_LOG_LEVEL_MESSAGE, "a worker was removed from the registry")
MT_EVENT (8304, WORKER_SILENT, G_LOG_LEVEL_WARNING, "a worker stopped answering")
MT_EVENT (8305, WORKER_BACK, G_LOG_LEVEL_MESSAGE, "a silent worker answers again")
MT_EVENT (8306,
          WORKER_LOST,
          G_LOG_LEVEL_WARNING,
          "nothing can run on a worker any more; its tasks wait to run again")
MT_EVENT (8308,
          WORKER_SHRUNK,
          G_LOG_LEVEL_MESSAGE,
          "a worker's resources shrank below what its tasks use; it gets no new tasks for now")
MT_EVENT (8307,
          WORKER_SHUNNED,
          G_LOG_LEVEL_WARNING,
          "a worker fails tasks that complete elsewhere and gets no new tasks for a while")
MT_EVENT (8309,
          WORKER_RESERVED,
          G_LOG_LEVEL_MESSAGE,
          "a worker takes only long-running tasks for now, since one of them fits on no worker")
MT_EVENT (8311,
          ENTRY_UNUSABLE,
          G_LOG_LEVEL_WARNING,
          "an entry of the registry names no worker that can be used")
MT_EVENT (8312,
          ENTRY_REFUTED,
          G_LOG_LEVEL_WARNING,
          "a worker's entry names a restart that its own answers refute")
MT_EVENT (8310,
          WORKER_SLOW,
          G_LOG_LEVEL_MESSAGE,
          "a worker's run times on a route pass those of the other workers, or no longer do")

MT_EVENT (8401, WAVE_SEEN, G_LOG_LEVEL_MESSAGE, "a maintenance wave was requested")
MT_EVENT (8402, WAVE_ENDED, G_LOG_LEVEL_MESSAGE, "a maintenance wave completed")
MT_EVENT (8403, UPKEEP_ORDERED, G_LOG_LEVEL_MESSAGE, "maintenance of an empty machine was ordered")
MT_EVENT (8404, MACHINE_MOVED, G_LOG_LEVEL_MESSAGE, "a machine was ordered to move to another pool")
MT_EVENT (8405,
          MACHINE_REFUSED,
          G_LOG_LEVEL_WARNING,
          "an order for a machine was refused or not answered")
MT_EVENT (8408,
          REPORT_UNREADABLE,
          G_LOG_LEVEL_WARNING,
          "a pool's report can't be read, its machines are neither moved nor maintained")
MT_EVENT (8406,
          FORECAST,
          G_LOG_LEVEL_MESSAGE,
          "a pool's surge began, or an expected one did not come")
MT_EVENT (8407,
          FORECAST_UNREADABLE,
          G_LOG_LEVEL_WARNING,
          "the stored forecast can't be read; it is learned again and written over")
